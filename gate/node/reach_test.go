package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/work"
)

// cutWorld is a box whose log and mates answer or don't.
type cutWorld struct {
	age   time.Duration
	mates []string
}

func (w *cutWorld) Live() []work.Box {
	return []work.Box{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
}
func (w *cutWorld) ReadAge() time.Duration { return w.age }
func (w *cutWorld) Ping(_ context.Context, box work.Box) bool {
	for _, name := range w.mates {
		if name == box.Name {
			return true
		}
	}
	return false
}

// TestCutOff checks when a box counts itself as cut off, and that callers are told to come
// back once the balancer sends them to other boxes.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &cutWorld{mates: []string{"b", "c", "d"}}
		r := newReach("a", w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
		look := func(cut bool, why string) {
			t.Helper()
			r.look(context.Background())
			if r.CutOff() != cut {
				t.Errorf("%s: cut off %v", why, r.CutOff())
			}
		}
		w.age = 2 * readWithin
		look(false, "the log is away, most boxes answer")
		w.mates = []string{"b"}
		look(true, "few boxes answer")
		if got := r.RetryDelay(); got != balancerMoves {
			t.Errorf("advice at once: %v", got)
		}
		time.Sleep(balancerMoves - 500*time.Millisecond)
		look(true, "still")
		if got := r.RetryDelay(); got != 500*time.Millisecond {
			t.Errorf("advice shortly before the balancer moves: %v", got)
		}
		time.Sleep(time.Second)
		if got := r.RetryDelay(); got != aloneRetry {
			t.Errorf("advice after it: %v", got)
		}
		w.mates = nil
		look(true, "alone")
		w.age = 0
		look(false, "the log is back")
	})
}

// bigWorld is a fleet of five availability zones that loses its log; the boxes of one zone are cut off.
type bigWorld struct {
	boxes []work.Box
	cut   string
	self  work.Box

	mu    sync.Mutex
	asked map[string]int
}

func newBigWorld(boxes int) *bigWorld {
	w := &bigWorld{asked: map[string]int{}}
	for i := range boxes {
		w.boxes = append(w.boxes, work.Box{Name: fmt.Sprintf("box-%d", i), Zone: string(rune('a' + i%5))})
	}
	return w
}

func (w *bigWorld) Live() []work.Box       { return w.boxes }
func (w *bigWorld) ReadAge() time.Duration { return 2 * readWithin }
func (w *bigWorld) Ping(_ context.Context, box work.Box) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[box.Name]++
	return (box.Zone == w.cut) == (w.self.Zone == w.cut)
}

// TestCutOffOfMany checks that in a fleet of 200 boxes without its log the boxes of a zone that is cut off
// know it and all others don't, and that each asks few others, not all 199.
func TestCutOffOfMany(t *testing.T) {
	const few, some = 20, 10
	synctest.Test(t, func(t *testing.T) {
		w := newBigWorld(200)
		w.cut = "b"
		asked := 0
		for _, box := range w.boxes {
			w.self = box
			r := newReach(box.Name, w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
			for range 5 {
				r.look(context.Background())
			}
			if r.CutOff() != (box.Zone == w.cut) {
				t.Errorf("%s of zone %s: cut off %v", box.Name, box.Zone, r.CutOff())
			}
			if len(w.asked) > few {
				t.Errorf("%s asks %d boxes", box.Name, len(w.asked))
			}
			asked += len(w.asked)
			clear(w.asked)
		}
		if asked < some*len(w.boxes) {
			t.Errorf("%d questions of all boxes", asked)
		}
	})
}

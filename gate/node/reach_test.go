package node

import (
	"context"
	"io"
	"log/slog"
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
		if got := r.Elsewhere(); got != balancerMoves {
			t.Errorf("advice at once: %v", got)
		}
		time.Sleep(balancerMoves - 500*time.Millisecond)
		look(true, "still")
		if got := r.Elsewhere(); got != 500*time.Millisecond {
			t.Errorf("advice shortly before the balancer moves: %v", got)
		}
		time.Sleep(time.Second)
		if got := r.Elsewhere(); got != aloneRetry {
			t.Errorf("advice after it: %v", got)
		}
		w.mates = nil
		look(true, "alone")
		w.age = 0
		look(false, "the log is back")
	})
}

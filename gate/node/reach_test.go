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

// fakeNetwork is a fake view and network in which only the boxes in reachable respond.
type fakeNetwork struct {
	age       time.Duration
	reachable []string
}

func (w *fakeNetwork) Live() []work.Box {
	return []work.Box{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
}
func (w *fakeNetwork) ReadAge() time.Duration { return w.age }
func (w *fakeNetwork) Ping(_ context.Context, box work.Box) bool {
	for _, name := range w.reachable {
		if name == box.Name {
			return true
		}
	}
	return false
}

// TestCutOff checks when a box counts as cut off, and that callers are told to retry once the load balancer
// has moved to other boxes.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeNetwork{reachable: []string{"b", "c", "d"}}
		r := newCutOffDetector("a", w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
		check := func(want bool, why string) {
			t.Helper()
			r.check(context.Background())
			if r.CutOff() != want {
				t.Errorf("%s: cut off %v", why, r.CutOff())
			}
		}
		w.age = 2 * maxReadAge
		check(false, "log unreachable, most boxes respond")
		w.reachable = []string{"b"}
		check(true, "few boxes respond")
		if got := r.RetryDelay(); got != balancerFailover {
			t.Errorf("retry delay at once: %v", got)
		}
		time.Sleep(balancerFailover - 500*time.Millisecond)
		check(true, "still cut off")
		if got := r.RetryDelay(); got != 500*time.Millisecond {
			t.Errorf("retry delay shortly before the balancer moves: %v", got)
		}
		time.Sleep(time.Second)
		if got := r.RetryDelay(); got != aloneRetryDelay {
			t.Errorf("retry delay after the balancer has moved: %v", got)
		}
		w.reachable = nil
		check(true, "no other box responds")
		w.age = 0
		check(false, "log reachable again")
	})
}

// partitionedFleet is a fleet of five availability zones that can't reach the log, with one zone partitioned
// from the rest.
type partitionedFleet struct {
	boxes      []work.Box
	cutOffZone string
	self       work.Box

	mu    sync.Mutex
	pings map[string]int
}

func newPartitionedFleet(boxes int) *partitionedFleet {
	w := &partitionedFleet{pings: map[string]int{}}
	for i := range boxes {
		w.boxes = append(w.boxes, work.Box{Name: fmt.Sprintf("box-%d", i), Zone: string(rune('a' + i%5))})
	}
	return w
}

func (w *partitionedFleet) Live() []work.Box       { return w.boxes }
func (w *partitionedFleet) ReadAge() time.Duration { return 2 * maxReadAge }
func (w *partitionedFleet) Ping(_ context.Context, box work.Box) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pings[box.Name]++
	return (box.Zone == w.cutOffZone) == (w.self.Zone == w.cutOffZone)
}

// TestPartitionedZoneIsCutOff checks that during an outage of the log exactly the boxes of a partitioned zone
// count as cut off, and that each box pings only a bounded sample of the fleet.
func TestPartitionedZoneIsCutOff(t *testing.T) {
	const maxPinged, minAveragePinged = 20, 10
	synctest.Test(t, func(t *testing.T) {
		w := newPartitionedFleet(200)
		w.cutOffZone = "b"
		pinged := 0
		for _, box := range w.boxes {
			w.self = box
			r := newCutOffDetector(box.Name, w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
			for range 5 {
				r.check(context.Background())
			}
			if r.CutOff() != (box.Zone == w.cutOffZone) {
				t.Errorf("%s of zone %s: cut off %v", box.Name, box.Zone, r.CutOff())
			}
			if len(w.pings) > maxPinged {
				t.Errorf("%s pings %d boxes", box.Name, len(w.pings))
			}
			pinged += len(w.pings)
			clear(w.pings)
		}
		if pinged < minAveragePinged*len(w.boxes) {
			t.Errorf("all boxes together pinged only %d boxes", pinged)
		}
	})
}

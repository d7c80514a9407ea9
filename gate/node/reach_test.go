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

func (n *fakeNetwork) Live() []work.Box {
	return []work.Box{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
}
func (n *fakeNetwork) ReadAge() time.Duration { return n.age }
func (n *fakeNetwork) Ping(_ context.Context, box work.Box) bool {
	for _, name := range n.reachable {
		if name == box.Name {
			return true
		}
	}
	return false
}

// TestCutOff checks when a box counts as cut off, and that callers are told to retry once the load balancer
// sends connections to other boxes.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{reachable: []string{"b", "c", "d"}}
		d := newCutOffDetector("a", network, network, slog.New(slog.NewTextHandler(io.Discard, nil)))
		check := func(want bool, why string) {
			t.Helper()
			d.check(context.Background())
			if d.CutOff() != want {
				t.Errorf("%s: cut off %v", why, d.CutOff())
			}
		}
		network.age = 2 * maxReadAge
		check(false, "log unreachable, most boxes respond")
		network.reachable = []string{"b"}
		check(true, "few boxes respond")
		if got := d.RetryDelay(); got != balancerFailover {
			t.Errorf("retry delay at once: %v", got)
		}
		time.Sleep(balancerFailover - 500*time.Millisecond)
		check(true, "still cut off")
		if got := d.RetryDelay(); got != 500*time.Millisecond {
			t.Errorf("retry delay shortly before the balancer moves: %v", got)
		}
		time.Sleep(time.Second)
		if got := d.RetryDelay(); got != aloneRetryDelay {
			t.Errorf("retry delay after the balancer has moved: %v", got)
		}
		network.reachable = nil
		check(true, "no other box responds")
		network.age = 0
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
	f := &partitionedFleet{pings: map[string]int{}}
	for i := range boxes {
		f.boxes = append(f.boxes, work.Box{Name: fmt.Sprintf("box-%d", i), Zone: string(rune('a' + i%5))})
	}
	return f
}

func (f *partitionedFleet) Live() []work.Box       { return f.boxes }
func (f *partitionedFleet) ReadAge() time.Duration { return 2 * maxReadAge }
func (f *partitionedFleet) Ping(_ context.Context, box work.Box) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pings[box.Name]++
	return (box.Zone == f.cutOffZone) == (f.self.Zone == f.cutOffZone)
}

// TestPartitionedZoneIsCutOff checks that during an outage of the log exactly the boxes of a partitioned zone
// count as cut off, and that each box pings only a bounded sample of the fleet.
func TestPartitionedZoneIsCutOff(t *testing.T) {
	const maxPinged, minAveragePinged = 20, 10
	synctest.Test(t, func(t *testing.T) {
		fleet := newPartitionedFleet(200)
		fleet.cutOffZone = "b"
		pinged := 0
		for _, box := range fleet.boxes {
			fleet.self = box
			d := newCutOffDetector(box.Name, fleet, fleet, slog.New(slog.NewTextHandler(io.Discard, nil)))
			for range 5 {
				d.check(context.Background())
			}
			if d.CutOff() != (box.Zone == fleet.cutOffZone) {
				t.Errorf("%s of zone %s: cut off %v", box.Name, box.Zone, d.CutOff())
			}
			if len(fleet.pings) > maxPinged {
				t.Errorf("%s pings %d boxes", box.Name, len(fleet.pings))
			}
			pinged += len(fleet.pings)
			clear(fleet.pings)
		}
		if pinged < minAveragePinged*len(fleet.boxes) {
			t.Errorf("all boxes together pinged only %d boxes", pinged)
		}
	})
}

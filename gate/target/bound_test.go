package target

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

// placed counts the calls that go to each replica; those that none may take are under "none".
func placed(t *testing.T, targets *Targets, ask Ask, calls int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range calls {
		ask.Work, ask.Services = "w", toS
		lease, err := targets.Take(ask)
		if fault.Is(err, fault.NoTarget) {
			got["none"]++
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		got[lease.Replica.ID]++
		lease.Done(Answered, 0)
	}
	return got
}

// TestEvacuatedZoneGetsNothing checks that the replicas of an evacuated availability zone get nothing, also if no other is
// left, until the zone is taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	targets, _ := newTargets(0, false)
	targets.Put(replica(0, "a"))
	targets.Put(replica(1, "b"))
	targets.Evacuate(map[string]bool{"a": true})
	if diff := cmp.Diff(map[string]int{"r1": 5}, placed(t, targets, Ask{}, 5)); diff != "" {
		t.Errorf("zone a evacuated (-want +got):\n%s", diff)
	}
	targets.Evacuate(map[string]bool{"a": true, "b": true})
	if diff := cmp.Diff(map[string]int{"none": 5}, placed(t, targets, Ask{}, 5)); diff != "" {
		t.Errorf("both evacuated (-want +got):\n%s", diff)
	}
	targets.Evacuate(nil)
	if got := placed(t, targets, Ask{}, 5); got["none"] != 0 {
		t.Errorf("taken back: %v", got)
	}
}

// TestCallsStayInTheirRegions checks that no replica of another region gets a call that is bound.
func TestCallsStayInTheirRegions(t *testing.T) {
	targets, _ := newTargets(0, false)
	targets.Bind(Bounds{Regions: work.Regions{"a": "north", "b": "south"}})
	targets.Put(replica(0, "a"))
	targets.Put(replica(1, "b"))
	for _, c := range []struct {
		regions []string
		want    map[string]int
	}{
		{[]string{"south"}, map[string]int{"r1": 5}},
		{[]string{"east"}, map[string]int{"none": 5}},
	} {
		if diff := cmp.Diff(c.want, placed(t, targets, Ask{Regions: c.regions}, 5)); diff != "" {
			t.Errorf("bound to %v (-want +got):\n%s", c.regions, diff)
		}
	}
}

// coldTargets know two replicas, of which r0 is cold by what it says; a box may send it four calls a second.
func coldTargets(cold time.Duration) *Targets {
	targets, _ := newTargets(0, true)
	svc := work.Service{Name: "s", Connections: 100, Engine: &work.Engine{Slots: 8}, ColdFor: 3 * time.Second, ColdRate: 6}
	targets.Configure(work.NewConfig(2, nil, []work.Service{svc}, work.Limits{}))
	targets.Bind(Bounds{Regions: work.Regions{"a": "north"}, Cold: sched.ColdBounds{Overshoot: 1, Slack: 2}})
	first := replica(0, "a")
	first.Cold = cold
	targets.Put(first)
	return targets
}

// TestColdReplicaGetsFewCalls checks the bound of a replica that says that it is cold, before and after it turns warm.
func TestColdReplicaGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(2 * time.Second)
		if diff := cmp.Diff(map[string]int{"r0": 4, "none": 6}, placed(t, targets, Ask{}, 10)); diff != "" {
			t.Errorf("cold (-want +got):\n%s", diff)
		}
		targets.Put(replica(1, "a"))
		if diff := cmp.Diff(map[string]int{"r1": 10}, placed(t, targets, Ask{}, 10)); diff != "" {
			t.Errorf("with a warm one (-want +got):\n%s", diff)
		}
		time.Sleep(2 * time.Second)
		targets.Drop("r1")
		if diff := cmp.Diff(map[string]int{"r0": 10}, placed(t, targets, Ask{}, 10)); diff != "" {
			t.Errorf("warm (-want +got):\n%s", diff)
		}
		again := replica(0, "a")
		again.Cold = time.Second
		targets.Put(again)
		if diff := cmp.Diff(map[string]int{"r0": 4, "none": 6}, placed(t, targets, Ask{}, 10)); diff != "" {
			t.Errorf("cold again (-want +got):\n%s", diff)
		}
	})
}

// TestOneBoxWarmsAReplica checks that a box which is not the one that sends to a cold replica sends nothing there.
func TestOneBoxWarmsAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(2 * time.Second)
		targets.OnWarming(func(work.Replica, bool) bool { return false })
		if diff := cmp.Diff(map[string]int{"none": 3}, placed(t, targets, Ask{}, 3)); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// TestJustStartedReplicaIsCold checks that a replica which has just started is cold though its entry does not say so.
func TestJustStartedReplicaIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(0)
		targets.Drop("r0")
		born := replica(1, "a")
		born.Born = time.Now().Add(-time.Second)
		targets.Put(born)
		if got := placed(t, targets, Ask{}, 10); got["r1"] != 4 {
			t.Errorf("just started: %v", got)
		}
		time.Sleep(4 * time.Second)
		if got := placed(t, targets, Ask{}, 10); got["r1"] != 10 {
			t.Errorf("warm: %v", got)
		}
	})
}

// TestIdleReplicasNeedNoReports checks that of a large fleet's replicas a box needs reports of those where it places turns, and
// of a small fleet's of all.
func TestIdleReplicasNeedNoReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, _ := newTargets(200, true)
		if got := len(targets.Models()); got != 200 {
			t.Errorf("reports of %d replicas of a small fleet", got)
		}
		targets.Draw(subset.Levels{subset.Group("s", "a"): 3})
		if got := targets.Models(); len(got) != 0 {
			t.Errorf("reports of %d idle replicas", len(got))
		}
		lease := take(t, targets, Ask{Prompt: &work.Prompt{Tokens: 100, Parts: []work.Part{{ID: "p", Tokens: 100}}}})
		lease.Done(Answered, 0)
		if diff := cmp.Diff([]work.Replica{lease.Replica}, targets.Models(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("where turns are placed (-want +got):\n%s", diff)
		}
		time.Sleep(placedFor)
		if got := targets.Models(); len(got) != 0 {
			t.Errorf("reports of %d replicas that are left", len(got))
		}
	})
}

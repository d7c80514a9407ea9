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

// countPlacements counts the calls placed at each replica; calls that none can take count as "none".
func countPlacements(t *testing.T, targets *Targets, ask CallRequest, calls int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range calls {
		ask.WorkKind, ask.Services = "w", splitToS
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

// TestEvacuatedZoneGetsNothing checks that replicas in an evacuated availability zone get no calls, even
// if no other is left, until the evacuation ends.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	targets, _ := newTargets(0, false)
	targets.Put(replica(0, "a"))
	targets.Put(replica(1, "b"))
	targets.SetEvacuated(map[string]bool{"a": true})
	if diff := cmp.Diff(map[string]int{"r1": 5}, countPlacements(t, targets, CallRequest{}, 5)); diff != "" {
		t.Errorf("zone a evacuated (-want +got):\n%s", diff)
	}
	targets.SetEvacuated(map[string]bool{"a": true, "b": true})
	if diff := cmp.Diff(map[string]int{"none": 5}, countPlacements(t, targets, CallRequest{}, 5)); diff != "" {
		t.Errorf("both evacuated (-want +got):\n%s", diff)
	}
	targets.SetEvacuated(nil)
	if got := countPlacements(t, targets, CallRequest{}, 5); got["none"] != 0 {
		t.Errorf("after the evacuation: %v", got)
	}
}

// TestCallsStayInTheirRegions checks that a call restricted to regions only goes to replicas there.
func TestCallsStayInTheirRegions(t *testing.T) {
	targets, _ := newTargets(0, false)
	targets.SetBounds(Bounds{Regions: work.Regions{"a": "north", "b": "south"}})
	targets.Put(replica(0, "a"))
	targets.Put(replica(1, "b"))
	for _, c := range []struct {
		regions []string
		want    map[string]int
	}{
		{[]string{"south"}, map[string]int{"r1": 5}},
		{[]string{"east"}, map[string]int{"none": 5}},
	} {
		if diff := cmp.Diff(c.want, countPlacements(t, targets, CallRequest{Regions: c.regions}, 5)); diff != "" {
			t.Errorf("restricted to %v (-want +got):\n%s", c.regions, diff)
		}
	}
}

// coldTargets returns targets with one replica, r0, whose entry says that it stays cold for the given
// time. The box may send a cold replica four calls a second.
func coldTargets(cold time.Duration) *Targets {
	targets, _ := newTargets(0, true)
	svc := work.Service{Name: "s", Connections: 100, Engine: &work.Engine{Slots: 8}, WarmupTime: 3 * time.Second, WarmupRate: 6}
	targets.Configure(work.NewConfig(2, nil, []work.Service{svc}, work.Limits{}))
	targets.SetBounds(Bounds{Regions: work.Regions{"a": "north"}, Cold: sched.ColdLimits{Overshoot: 1, Slack: 2}})
	first := replica(0, "a")
	first.WarmupLeft = cold
	targets.Put(first)
	return targets
}

// TestColdReplicaGetsFewCalls checks that a replica gets few calls while its entry says that it is cold.
func TestColdReplicaGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(2 * time.Second)
		if diff := cmp.Diff(map[string]int{"r0": 4, "none": 6}, countPlacements(t, targets, CallRequest{}, 10)); diff != "" {
			t.Errorf("cold (-want +got):\n%s", diff)
		}
		targets.Put(replica(1, "a"))
		if diff := cmp.Diff(map[string]int{"r1": 10}, countPlacements(t, targets, CallRequest{}, 10)); diff != "" {
			t.Errorf("with a warm one (-want +got):\n%s", diff)
		}
		time.Sleep(2 * time.Second)
		targets.Remove("r1")
		if diff := cmp.Diff(map[string]int{"r0": 10}, countPlacements(t, targets, CallRequest{}, 10)); diff != "" {
			t.Errorf("warm (-want +got):\n%s", diff)
		}
		again := replica(0, "a")
		again.WarmupLeft = time.Second
		targets.Put(again)
		if diff := cmp.Diff(map[string]int{"r0": 4, "none": 6}, countPlacements(t, targets, CallRequest{}, 10)); diff != "" {
			t.Errorf("cold again (-want +got):\n%s", diff)
		}
	})
}

// TestOneBoxWarmsAReplica checks that a box sends a cold replica no calls if another box of its zone is
// to do so.
func TestOneBoxWarmsAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(2 * time.Second)
		targets.SetWarmingCheck(func(work.Replica, bool) bool { return false })
		if diff := cmp.Diff(map[string]int{"none": 3}, countPlacements(t, targets, CallRequest{}, 3)); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// TestJustStartedReplicaIsCold checks that a recently started replica counts as cold even if its entry
// does not say so.
func TestJustStartedReplicaIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := coldTargets(0)
		targets.Remove("r0")
		started := replica(1, "a")
		started.StartedAt = time.Now().Add(-time.Second)
		targets.Put(started)
		if got := countPlacements(t, targets, CallRequest{}, 10); got["r1"] != 4 {
			t.Errorf("just started: %v", got)
		}
		time.Sleep(4 * time.Second)
		if got := countPlacements(t, targets, CallRequest{}, 10); got["r1"] != 10 {
			t.Errorf("warm: %v", got)
		}
	})
}

// TestIdleReplicasNeedNoReports checks that a box polls all replicas of a small fleet, but only those of
// a large fleet where it places turns.
func TestIdleReplicasNeedNoReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, _ := newTargets(200, true)
		if got := len(targets.ModelsToPoll()); got != 200 {
			t.Errorf("%d replicas of a small fleet are polled", got)
		}
		targets.SetLevels(subset.Levels{subset.Group("s", "a"): 3})
		if got := targets.ModelsToPoll(); len(got) != 0 {
			t.Errorf("%d idle replicas are polled", len(got))
		}
		lease := take(t, targets, CallRequest{Prompt: &work.Prompt{Tokens: 100, Parts: []work.Part{{ID: "p", Tokens: 100}}}})
		lease.Done(Answered, 0)
		if diff := cmp.Diff([]work.Replica{lease.Replica}, targets.ModelsToPoll(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("polled replicas (-want +got):\n%s", diff)
		}
		time.Sleep(recentTurnWindow)
		if got := targets.ModelsToPoll(); len(got) != 0 {
			t.Errorf("%d replicas without recent turns are polled", len(got))
		}
	})
}

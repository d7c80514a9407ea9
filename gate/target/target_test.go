package target

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/work"
)

// fakePools counts the pools that are opened and closed, and records the last connection limit.
type fakePools struct {
	open, closed, limit int
	// connected is the ID of the replica that has an idle connection.
	connected string
}

func (p *fakePools) Open(rep work.Replica, connections int) Pool {
	p.open++
	p.limit = connections
	return fakePool{pools: p, id: rep.ID}
}

type fakePool struct {
	pools *fakePools
	id    string
}

func (p fakePool) Close()                   { p.pools.closed++ }
func (p fakePool) SetLimit(connections int) { p.pools.limit = connections }
func (p fakePool) HasIdle() bool            { return p.pools.connected == p.id }

// newTargets returns targets with n replicas of one service, which serves a model if engine is set.
func newTargets(n int, engine bool) (*Targets, *fakePools) {
	p := &fakePools{}
	t := New("a", p, crash.New(nil, nil, nil), slog.New(slog.NewTextHandler(io.Discard, nil)))
	svc := work.Service{Name: "s", Connections: 100}
	if engine {
		svc.Engine = &work.Engine{Slots: 8, Stride: 3}
	}
	t.Configure(work.NewConfig(1, nil, []work.Service{svc}, work.Limits{}))
	for i := range n {
		t.Put(replica(i, "a"))
	}
	return t, p
}

func replica(i int, zone string) work.Replica {
	addr := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))
	return work.Replica{ID: fmt.Sprintf("r%d", i), Service: "s", Addr: addr, Zone: zone, Slots: 8}
}

var splitToS = []work.Split{{Service: "s", Weight: 1}}

func take(tb testing.TB, t *Targets, ask CallRequest) *Lease {
	tb.Helper()
	ask.WorkKind, ask.Services = "w", splitToS
	lease, err := t.Take(ask)
	if err != nil {
		tb.Fatal(err)
	}
	return lease
}

func TestCallsSpreadEvenly(t *testing.T) {
	targets, _ := newTargets(4, false)
	got := map[string]int{}
	for range 40 {
		got[take(t, targets, CallRequest{}).Replica.ID]++
	}
	if diff := cmp.Diff(map[string]int{"r0": 10, "r1": 10, "r2": 10, "r3": 10}, got); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestPlainCallsPreferOwnZone checks that calls of plain services stay in the box's availability zone
// until its replicas are busier than those of other zones.
func TestPlainCallsPreferOwnZone(t *testing.T) {
	targets, _ := newTargets(2, false)
	targets.Put(replica(2, "b"))
	targets.Put(replica(3, "b"))
	got := map[string]int{}
	for range 2 {
		got[take(t, targets, CallRequest{}).Replica.Zone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 2}, got); diff != "" {
		t.Errorf("first calls (-want +got):\n%s", diff)
	}
	for range 4 {
		got[take(t, targets, CallRequest{}).Replica.Zone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 4, "b": 2}, got); diff != "" {
		t.Errorf("calls once the zone's replicas are busy (-want +got):\n%s", diff)
	}
}

// TestPlainCallsReuseConnections checks that calls of plain services prefer a replica with an idle
// connection until it is busier than others.
func TestPlainCallsReuseConnections(t *testing.T) {
	targets, pools := newTargets(4, false)
	for range 4 { // opens a pool to each replica
		take(t, targets, CallRequest{})
	}
	for _, s := range targets.byID {
		s.inFlight = 0
	}
	pools.connected = "r2"
	first, second := take(t, targets, CallRequest{}), take(t, targets, CallRequest{})
	if first.Replica.ID != "r2" || second.Replica.ID == "r2" {
		t.Errorf("calls go to %s and %s", first.Replica.ID, second.Replica.ID)
	}
}

// TestSlowReplicaGetsFewerCalls checks that a replica which is slower than the others gets fewer calls.
func TestSlowReplicaGetsFewerCalls(t *testing.T) {
	targets, _ := newTargets(2, false)
	got := map[string]int{}
	for range 200 {
		lease := take(t, targets, CallRequest{})
		got[lease.Replica.ID]++
		took := 20 * time.Millisecond
		if lease.Replica.ID == "r0" {
			took *= 5
		}
		lease.Done(Answered, took)
	}
	if got["r0"] > 40 {
		t.Errorf("%d of 200 calls went to a replica five times slower", got["r0"])
	}
}

// TestTurnsFollowCachedPrompt checks that turns go to the replica that caches their prompt until it
// reports a long queue.
func TestTurnsFollowCachedPrompt(t *testing.T) {
	targets, _ := newTargets(3, true)
	ask := CallRequest{Prompt: &work.Prompt{Tokens: 6000, Most: 100}, CachedTokens: map[string]int{"r1": 5500}}
	for range 5 {
		if lease := take(t, targets, ask); lease.Replica.ID != "r1" || lease.CachedTokens != 5500 {
			t.Fatalf("placed at %s with %d cached tokens", lease.Replica.ID, lease.CachedTokens)
		}
	}
	targets.UpdateLoad("r1", work.Load{Running: 8, Waiting: 60})
	if lease := take(t, targets, ask); lease.Replica.ID == "r1" {
		t.Error("placed at a replica where 60 calls wait")
	}
}

// TestFirstTurnFollowsReports checks that a turn whose prompt is cached nowhere goes to the replica with
// the least reported load.
func TestFirstTurnFollowsReports(t *testing.T) {
	targets, _ := newTargets(3, true)
	targets.UpdateLoad("r0", work.Load{Running: 7})
	targets.UpdateLoad("r1", work.Load{Running: 1})
	targets.UpdateLoad("r2", work.Load{Running: 6})
	if got := take(t, targets, CallRequest{Prompt: &work.Prompt{Tokens: 1000}}).Replica.ID; got != "r1" {
		t.Errorf("placed at %s", got)
	}
	if diff := cmp.Diff(3, len(targets.ModelsToPoll())); diff != "" {
		t.Errorf("model replicas (-want +got):\n%s", diff)
	}
}

// TestMissingReplicasOfSmallService checks that a service whose other replicas are missing uses the one
// that is listed.
func TestMissingReplicasOfSmallService(t *testing.T) {
	targets, _ := newTargets(3, false)
	targets.MarkMissing("r0")
	targets.MarkMissing("r1")
	for range 10 {
		if got := take(t, targets, CallRequest{}).Replica.ID; got != "r2" {
			t.Fatalf("call placed at %s", got)
		}
	}
}

// TestMissingReplicas checks that missing replicas get no calls while enough replicas of their service
// are listed, and that all are used while almost all entries are missing.
func TestMissingReplicas(t *testing.T) {
	targets, _ := newTargets(6, false)
	used := func() []string {
		got := map[string]bool{}
		for range 40 {
			lease := take(t, targets, CallRequest{})
			got[lease.Replica.ID] = true
			defer lease.Done(Answered, 0)
		}
		return slices.Sorted(maps.Keys(got))
	}
	steps := []struct {
		do   func()
		want []string
	}{
		{func() { targets.MarkMissing("r0"); targets.MarkMissing("r1") }, []string{"r2", "r3", "r4", "r5"}},
		{func() { targets.MarkMissing("r2"); targets.MarkMissing("r3") }, []string{"r4", "r5"}},
		{func() { targets.MarkMissing("r4") }, []string{"r0", "r1", "r2", "r3", "r4", "r5"}},
		{func() { targets.Put(replica(1, "a")) }, []string{"r1", "r5"}},
		{func() { targets.Remove("r0") }, []string{"r1", "r5"}},
	}
	for n, step := range steps {
		step.do()
		if diff := cmp.Diff(step.want, used()); diff != "" {
			t.Errorf("step %d, replicas used (-want +got):\n%s", n, diff)
		}
	}
}

// TestUnavailableReplicasGetNoCalls checks that replicas which drain, were not reached or were dropped
// get no calls.
func TestUnavailableReplicasGetNoCalls(t *testing.T) {
	targets, p := newTargets(3, false)
	draining := replica(0, "a")
	draining.Draining = true
	targets.Put(draining)
	unreached := take(t, targets, CallRequest{})
	unreached.Done(Unreached, 0)
	for range 20 {
		lease := take(t, targets, CallRequest{})
		if lease.Replica.ID == "r0" || lease.Replica.ID == unreached.Replica.ID {
			t.Fatalf("call placed at %s", lease.Replica.ID)
		}
		lease.Done(Answered, time.Millisecond)
	}
	targets.Remove("r1")
	targets.Remove("r2")
	if _, err := targets.Take(CallRequest{Services: splitToS}); !fault.Is(err, fault.NoTarget) {
		t.Errorf("fault %v", err)
	}
	if p.closed != p.open {
		t.Errorf("%d of %d pools closed", p.closed, p.open)
	}
}

// TestFullPoolDoesNotAvoidReplica checks that a full connection pool does not count against the replica. The replica
// was avoided for a second, as if it had not been reached.
func TestFullPoolDoesNotAvoidReplica(t *testing.T) {
	targets, _ := newTargets(3, false)
	full := take(t, targets, CallRequest{})
	full.Done(NotSentOutcome(fault.Refuse(fault.Overloaded, "no connection to the target is free")), 0)
	var replicas []string
	for range 3 {
		lease := take(t, targets, CallRequest{Exclude: replicas})
		replicas = append(replicas, lease.Replica.ID)
		defer lease.Done(Answered, time.Millisecond)
	}
	if !slices.Contains(replicas, full.Replica.ID) {
		t.Errorf("calls placed at %v, want one at %s", replicas, full.Replica.ID)
	}
	if state := targets.byID[full.Replica.ID]; state.lastFailureRate != 0 || !state.suspectUntil.IsZero() {
		t.Errorf("failure rate %v, suspect until %v", state.lastFailureRate, state.suspectUntil)
	}
}

// TestDroppedReplicaFinishesCalls checks that the pool of a dropped replica stays open until its last
// call ends.
func TestDroppedReplicaFinishesCalls(t *testing.T) {
	targets, p := newTargets(1, false)
	lease := take(t, targets, CallRequest{})
	targets.Remove("r0")
	if p.closed != 0 {
		t.Error("pool closed while a call is in flight")
	}
	lease.Done(Answered, time.Millisecond)
	if p.closed != 1 {
		t.Error("pool not closed after the last call")
	}
}

// TestSilentReplicaIsAvoided checks that a replica which sends no answers is avoided, unless it has
// reported waiting calls.
func TestSilentReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, waiting := range []int{0, 2} {
			targets, _ := newTargets(3, true)
			targets.UpdateLoad("r1", work.Load{Running: 1, Waiting: waiting})
			ask := CallRequest{Prompt: &work.Prompt{Tokens: 6000, Most: 100}, CachedTokens: map[string]int{"r1": 5500}}
			for range 3 {
				if lease := take(t, targets, ask); lease.Replica.ID == "r1" {
					lease.Done(Unresponsive, 0)
				}
			}
			lease := take(t, targets, ask)
			if stays := lease.Replica.ID == "r1"; stays != (waiting > 0) {
				t.Errorf("with %d calls waiting there: the next turn goes to %s", waiting, lease.Replica.ID)
			}
		}
	})
}

// TestConnectionLimitFollowsBoxes checks that a box lowers its connection limits when others join.
func TestConnectionLimitFollowsBoxes(t *testing.T) {
	targets, p := newTargets(1, false)
	var got []int
	for _, boxes := range []int{6, 21, 46, 1000} {
		targets.SetBoxCount(boxes)
		take(t, targets, CallRequest{}).Done(Answered, 0)
		got = append(got, p.limit)
	}
	if diff := cmp.Diff([]int{10, 4, 2, minConnections}, got); diff != "" || p.open != 1 {
		t.Errorf("connection limits (-want +got):\n%s", diff)
	}
}

func TestSplitWeights(t *testing.T) {
	targets, _ := newTargets(0, false)
	for i, svc := range []string{"x", "y"} {
		rep := replica(i, "a")
		rep.Service = svc
		targets.Put(rep)
	}
	got := map[string]int{}
	for range 1000 {
		lease, err := targets.Take(CallRequest{Services: []work.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}})
		if err != nil {
			t.Fatal(err)
		}
		got[lease.Replica.Service]++
		lease.Done(Answered, time.Millisecond)
	}
	if got["y"] < 50 || got["y"] > 170 {
		t.Errorf("%d of 1000 calls for a weight of 10 in 100", got["y"])
	}
}

// TestTakeInvariants applies random changes and checks that no call goes to a replica that is draining,
// removed or excluded, or has no connection left.
func TestTakeInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets, _ := newTargets(5, rapid.Bool().Draw(rt, "engine"))
		targets.SetBoxCount(rapid.IntRange(1, 60).Draw(rt, "boxes"))
		var leases []*Lease
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 4).Draw(rt, "replica")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				rep := replica(i, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"))
				rep.Draining = rapid.Bool().Draw(rt, "draining")
				targets.Put(rep)
			case 1:
				targets.Remove(fmt.Sprintf("r%d", i))
			case 2:
				if len(leases) > 0 {
					leases[0].Done(Outcome(rapid.IntRange(0, 6).Draw(rt, "outcome")), time.Duration(i)*time.Millisecond)
					leases = leases[1:]
				}
			default:
				exclude := []string{fmt.Sprintf("r%d", i)}
				lease, err := targets.Take(CallRequest{WorkKind: "w", Services: splitToS, Exclude: exclude, Prompt: &work.Prompt{Tokens: 100 * i}})
				if err != nil {
					continue
				}
				leases = append(leases, lease)
				s := lease.state
				if s.Draining || s.removed || s.ID == exclude[0] || s.inFlight > targets.maxConnections(s) {
					rt.Fatalf("call placed at %+v", s.Replica)
				}
			}
		}
	})
}

// TestIntermittentFailures checks that a replica which fails too irregularly to be ejected gets few
// calls, and is tried again later.
func TestIntermittentFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, _ := newTargets(4, false)
		run := func(n int) (toFailing int) {
			for i := range n {
				lease := take(t, targets, CallRequest{})
				out := Answered
				if lease.Replica.ID == "r0" {
					toFailing++
					if i%5 < 2 {
						out = Incomplete
					}
				}
				time.Sleep(10 * time.Millisecond)
				lease.Done(out, 20*time.Millisecond)
			}
			return toFailing
		}
		run(60)
		if n := run(200); n > 20 {
			t.Errorf("%d of 200 calls went to a replica that fails two in five", n)
		}
		time.Sleep(30 * time.Second)
		if run(40) == 0 {
			t.Error("the failing replica is not tried again")
		}
	})
}

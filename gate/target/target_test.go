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
	"mulleingate.dev/gate/work"
)

type pools struct {
	open, closed, limit int
	// connected is the replica to which a connection rests.
	connected string
}

func (p *pools) Open(rep work.Replica, connections int) Pool {
	p.open++
	p.limit = connections
	return pool{pools: p, id: rep.ID}
}

type pool struct {
	pools *pools
	id    string
}

func (c pool) Close()                { c.pools.closed++ }
func (c pool) Limit(connections int) { c.pools.limit = connections }
func (c pool) Connected() bool       { return c.pools.connected == c.id }

func newTargets(n int, engine bool) (*Targets, *pools) {
	p := &pools{}
	t := New("a", p, slog.New(slog.NewTextHandler(io.Discard, nil)))
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

var toS = []work.Split{{Service: "s", Weight: 1}}

func take(tb testing.TB, t *Targets, ask Ask) *Lease {
	tb.Helper()
	ask.Work, ask.Services = "w", toS
	lease, err := t.Take(ask)
	if err != nil {
		tb.Fatal(err)
	}
	return lease
}

func TestBusyReplicasAreLeft(t *testing.T) {
	targets, _ := newTargets(4, false)
	got := map[string]int{}
	for range 40 {
		got[take(t, targets, Ask{}).Replica.ID]++
	}
	if diff := cmp.Diff(map[string]int{"r0": 10, "r1": 10, "r2": 10, "r3": 10}, got); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestToolsStayNear checks that calls of plain services stay in the box's availability zone
// until its replicas are busier than those of others.
func TestToolsStayNear(t *testing.T) {
	targets, _ := newTargets(2, false)
	targets.Put(replica(2, "b"))
	targets.Put(replica(3, "b"))
	got := map[string]int{}
	for range 2 {
		got[take(t, targets, Ask{}).Replica.Zone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 2}, got); diff != "" {
		t.Errorf("first calls (-want +got):\n%s", diff)
	}
	for range 4 {
		got[take(t, targets, Ask{}).Replica.Zone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 4, "b": 2}, got); diff != "" {
		t.Errorf("calls once the near ones are busy (-want +got):\n%s", diff)
	}
}

// TestToolsKeepToConnections checks that calls of plain services go where a connection rests, until that
// replica is busier than others.
func TestToolsKeepToConnections(t *testing.T) {
	targets, pools := newTargets(4, false)
	for range 4 { // a pool to each
		take(t, targets, Ask{})
	}
	for _, s := range targets.byID {
		s.busy = 0
	}
	pools.connected = "r2"
	first, second := take(t, targets, Ask{}), take(t, targets, Ask{})
	if first.Replica.ID != "r2" || second.Replica.ID == "r2" {
		t.Errorf("calls go to %s and %s", first.Replica.ID, second.Replica.ID)
	}
}

func TestSlowReplicaGetsLess(t *testing.T) {
	targets, _ := newTargets(2, false)
	got := map[string]int{}
	for range 200 {
		lease := take(t, targets, Ask{})
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

// TestPromptStays checks that a program stays where its prompt is, and leaves a replica
// whose own report says that it is full.
func TestPromptStays(t *testing.T) {
	targets, _ := newTargets(3, true)
	ask := Ask{Prompt: &work.Prompt{Tokens: 6000, Most: 100}, Seen: map[string]int{"r1": 5500}}
	for range 5 {
		if lease := take(t, targets, ask); lease.Replica.ID != "r1" || lease.Cached != 5500 {
			t.Fatalf("%s with %d cached", lease.Replica.ID, lease.Cached)
		}
	}
	targets.Loaded("r1", work.Load{Running: 8, Waiting: 60})
	if lease := take(t, targets, ask); lease.Replica.ID == "r1" {
		t.Error("stays at a replica where 60 calls wait")
	}
}

// TestReportsSteerFirstTurns checks that a program without a prompt anywhere begins at the
// replica which is least busy by its own report.
func TestReportsSteerFirstTurns(t *testing.T) {
	targets, _ := newTargets(3, true)
	targets.Loaded("r0", work.Load{Running: 7})
	targets.Loaded("r1", work.Load{Running: 1})
	targets.Loaded("r2", work.Load{Running: 6})
	if got := take(t, targets, Ask{Prompt: &work.Prompt{Tokens: 1000}}).Replica.ID; got != "r1" {
		t.Errorf("begins at %s", got)
	}
	if diff := cmp.Diff(3, len(targets.Models())); diff != "" {
		t.Errorf("model replicas (-want +got):\n%s", diff)
	}
}

// TestMissingReplicasOfSmallService checks that a service whose replicas were all replaced unseen
// is served by the one that has come.
func TestMissingReplicasOfSmallService(t *testing.T) {
	targets, _ := newTargets(3, false)
	targets.Miss("r0")
	targets.Miss("r1")
	for range 10 {
		if got := take(t, targets, Ask{}).Replica.ID; got != "r2" {
			t.Fatalf("a call goes to %s", got)
		}
	}
}

// TestMissingReplicas checks that a replica whose entry went unseen gets nothing while a part of
// its service is listed, and that all are used where almost all entries went, until they are back.
func TestMissingReplicas(t *testing.T) {
	targets, _ := newTargets(6, false)
	used := func() []string {
		got := map[string]bool{}
		for range 40 {
			lease := take(t, targets, Ask{})
			got[lease.Replica.ID] = true
			defer lease.Done(Answered, 0)
		}
		return slices.Sorted(maps.Keys(got))
	}
	steps := []struct {
		do   func()
		want []string
	}{
		{func() { targets.Miss("r0"); targets.Miss("r1") }, []string{"r2", "r3", "r4", "r5"}},
		{func() { targets.Miss("r2"); targets.Miss("r3") }, []string{"r4", "r5"}},
		{func() { targets.Miss("r4") }, []string{"r0", "r1", "r2", "r3", "r4", "r5"}},
		{func() { targets.Put(replica(1, "a")) }, []string{"r1", "r5"}},
		{func() { targets.Drop("r0") }, []string{"r1", "r5"}},
	}
	for n, step := range steps {
		step.do()
		if diff := cmp.Diff(step.want, used()); diff != "" {
			t.Errorf("step %d, replicas used (-want +got):\n%s", n, diff)
		}
	}
}

func TestLeavingAndFailingReplicas(t *testing.T) {
	targets, p := newTargets(3, false)
	draining := replica(0, "a")
	draining.Draining = true
	targets.Put(draining)
	unreached := take(t, targets, Ask{})
	unreached.Done(Unreached, 0)
	for range 20 {
		lease := take(t, targets, Ask{})
		if lease.Replica.ID == "r0" || lease.Replica.ID == unreached.Replica.ID {
			t.Fatalf("call to %s", lease.Replica.ID)
		}
		lease.Done(Answered, time.Millisecond)
	}
	targets.Drop("r1")
	targets.Drop("r2")
	if _, err := targets.Take(Ask{Services: toS}); !fault.Is(err, fault.NoTarget) {
		t.Errorf("fault %v", err)
	}
	if p.closed != p.open {
		t.Errorf("%d of %d pools closed", p.closed, p.open)
	}
}

// TestCallUnderWayKeepsItsConnection checks that a replica which goes off the list is not cut.
func TestCallUnderWayKeepsItsConnection(t *testing.T) {
	targets, p := newTargets(1, false)
	lease := take(t, targets, Ask{})
	targets.Drop("r0")
	if p.closed != 0 {
		t.Error("cut while a call is under way")
	}
	lease.Done(Answered, time.Millisecond)
	if p.closed != 1 {
		t.Error("not closed after the last call")
	}
}

// TestSilentReplicaIsLeft checks that a replica which says nothing is left, unless calls wait
// there by its own report.
func TestSilentReplicaIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, waiting := range []int{0, 2} {
			targets, _ := newTargets(3, true)
			targets.Loaded("r1", work.Load{Running: 1, Waiting: waiting})
			ask := Ask{Prompt: &work.Prompt{Tokens: 6000, Most: 100}, Seen: map[string]int{"r1": 5500}}
			for range 3 {
				if lease := take(t, targets, ask); lease.Replica.ID == "r1" {
					lease.Done(Silent, 0)
				}
			}
			lease := take(t, targets, ask)
			if stays := lease.Replica.ID == "r1"; stays != (waiting > 0) {
				t.Errorf("with %d calls waiting there: the next turn goes to %s", waiting, lease.Replica.ID)
			}
		}
	})
}

// TestConnectionsAreSharedAnew checks that a box gives connections up when others join.
func TestConnectionsAreSharedAnew(t *testing.T) {
	targets, p := newTargets(1, false)
	var got []int
	for _, boxes := range []int{6, 21, 46, 1000} {
		targets.Boxes(boxes)
		take(t, targets, Ask{}).Done(Answered, 0)
		got = append(got, p.limit)
	}
	if diff := cmp.Diff([]int{10, 4, 2, leastShare}, got); diff != "" || p.open != 1 {
		t.Errorf("connections of 100 (-want +got):\n%s", diff)
	}
}

func TestSplits(t *testing.T) {
	targets, _ := newTargets(0, false)
	for i, svc := range []string{"x", "y"} {
		rep := replica(i, "a")
		rep.Service = svc
		targets.Put(rep)
	}
	got := map[string]int{}
	for range 1000 {
		lease, err := targets.Take(Ask{Services: []work.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}})
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

// TestTakeKeepsToItsRules plays random changes and checks that no call goes to a replica that
// drains, is avoided or has no connection left.
func TestTakeKeepsToItsRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets, _ := newTargets(5, rapid.Bool().Draw(rt, "engine"))
		targets.Boxes(rapid.IntRange(1, 60).Draw(rt, "boxes"))
		var held []*Lease
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 4).Draw(rt, "replica")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				rep := replica(i, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"))
				rep.Draining = rapid.Bool().Draw(rt, "draining")
				targets.Put(rep)
			case 1:
				targets.Drop(fmt.Sprintf("r%d", i))
			case 2:
				if len(held) > 0 {
					held[0].Done(Outcome(rapid.IntRange(0, 6).Draw(rt, "outcome")), time.Duration(i)*time.Millisecond)
					held = held[1:]
				}
			default:
				avoid := []string{fmt.Sprintf("r%d", i)}
				lease, err := targets.Take(Ask{Work: "w", Services: toS, Avoid: avoid, Prompt: &work.Prompt{Tokens: 100 * i}})
				if err != nil {
					continue
				}
				held = append(held, lease)
				s := lease.state
				if s.Draining || s.gone || s.ID == avoid[0] || s.busy > targets.share(s) {
					rt.Fatalf("call to %+v", s.Replica)
				}
			}
		}
	})
}

// TestReplicaThatFailsPartOfItsCalls checks that a replica whose failures never come in a row
// is left, and tried again later.
func TestReplicaThatFailsPartOfItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, _ := newTargets(4, false)
		play := func(n int) (grey int) {
			for i := range n {
				lease := take(t, targets, Ask{})
				out := Answered
				if lease.Replica.ID == "r0" {
					grey++
					if i%5 < 2 {
						out = Broken
					}
				}
				time.Sleep(10 * time.Millisecond)
				lease.Done(out, 20*time.Millisecond)
			}
			return grey
		}
		play(60)
		if n := play(200); n > 20 {
			t.Errorf("%d of 200 calls went to a replica that fails two in five", n)
		}
		time.Sleep(30 * time.Second)
		if play(40) == 0 {
			t.Error("the replica is never tried again")
		}
	})
}

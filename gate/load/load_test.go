package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// fakeTargets records the reports that one box receives.
type fakeTargets struct {
	mu      sync.Mutex
	models  []work.Replica
	loads   map[string]work.Load
	failing map[string]float64
	// demand is this box's demand, and demands what was received, by sender.
	demand  []sched.PrefixDemand
	demands map[string]sched.PrefixDemand
}

func (f *fakeTargets) ModelsToPoll() []work.Replica { return f.models }
func (f *fakeTargets) UpdateLoad(id string, load work.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[id] = load
}
func (f *fakeTargets) UpdateFailureRate(id string, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[id] = share
}

func (f *fakeTargets) PrefixDemand() []sched.PrefixDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demand
}
func (f *fakeTargets) UpdatePrefixDemand(from string, demand sched.PrefixDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands[from] = demand
}

// fleet is a list of live boxes, of which those in zone z place turns.
type fleet []work.Box

func (f fleet) Live() []work.Box    { return f }
func (f fleet) Serving() []work.Box { return f }

func (f fleet) PlacingBoxes() []work.Box {
	return slices.DeleteFunc(slices.Clone(f), func(box work.Box) bool { return box.Zone != "z" })
}

func (f fleet) KnownToAll(work.Replica) bool { return true }

// Knows reports false for boxes whose names begin with "un".
func (f fleet) Knows(box work.Box, _ work.Replica) bool { return !strings.HasPrefix(box.Name, "un") }

type reporter struct{}

func (reporter) Report(context.Context, work.Replica) (work.Load, error) {
	return work.Load{Running: 3, Waiting: 1}, nil
}

// freePort returns a free UDP port on the loopback interface.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestReportsReachBoxes checks that a load report reaches the boxes of the zone that know the
// replica, that a failure report reaches all boxes that do, and that malformed messages are
// ignored.
func TestReportsReachBoxes(t *testing.T) {
	boxes := fleet{
		{Name: "a", Zone: "z", Peer: freePort(t)}, {Name: "b", Zone: "z", Peer: freePort(t)}, {Name: "c", Zone: "y", Peer: freePort(t)},
		{Name: "unaware", Zone: "z", Peer: freePort(t)},
	}
	all := map[string]*fakeTargets{}
	watches := map[string]*Watch{}
	for _, box := range boxes {
		targets := &fakeTargets{loads: map[string]work.Load{}, failing: map[string]float64{}}
		if box.Zone == "z" {
			targets.models = []work.Replica{{ID: "r", Slots: 8}}
		}
		w := New(box, reporter{}, targets, &fakeCrashes{}, boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := w.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = w.Stop(context.Background()) }() // it only closes a socket
		all[box.Name], watches[box.Name] = targets, w
	}
	watches["a"].send(boxes[2].Peer, []byte("{"))
	watches["a"].SendFailureRate(work.Replica{ID: "r"}, 0.5)
	wants := map[string]string{"a": "load", "b": "load failing", "c": "failing", "unaware": ""}
	var got map[string]string
	for range 40 {
		time.Sleep(50 * time.Millisecond)
		got = map[string]string{}
		for name, targets := range all {
			got[name] = targets.received()
		}
		if cmp.Equal(wants, got) {
			return
		}
	}
	t.Errorf("reports received (-want +got):\n%s", cmp.Diff(wants, got))
}

func (f *fakeTargets) received() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := ""
	if f.loads["r"] == (work.Load{Running: 3, Waiting: 1}) {
		text = "load"
	}
	if f.failing["r"] == 0.5 && text != "" {
		text += " "
	}
	if f.failing["r"] == 0.5 {
		text += "failing"
	}
	return text
}

// TestDemandReachesPlacingBoxes guards against demand that stays unknown to the other placing boxes of the
// zone, and against messages to boxes that do not need it.
func TestDemandReachesPlacingBoxes(t *testing.T) {
	boxes := fleet{{Name: "a", Zone: "z", Peer: freePort(t)}, {Name: "b", Zone: "z", Peer: freePort(t)}, {Name: "c", Zone: "y", Peer: freePort(t)}}
	demand := sched.PrefixDemand{Service: "s", Calls: 12.5, Parts: []sched.PartDemand{{ID: "p", Tokens: 12_600, Calls: 3.25, Programs: 4}}}
	all := map[string]*fakeTargets{}
	for _, box := range boxes {
		targets := &fakeTargets{demands: map[string]sched.PrefixDemand{}}
		if box.Name != "b" {
			targets.demand = []sched.PrefixDemand{demand}
		}
		w := New(box, reporter{}, targets, &fakeCrashes{}, boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := w.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = w.Stop(context.Background()) }() // it only closes a socket
		all[box.Name] = targets
	}
	wants := map[string]map[string]sched.PrefixDemand{"a": {}, "b": {"a": demand}, "c": {}}
	var got map[string]map[string]sched.PrefixDemand
	for range 40 {
		time.Sleep(50 * time.Millisecond)
		got = map[string]map[string]sched.PrefixDemand{}
		for name, targets := range all {
			targets.mu.Lock()
			got[name] = maps.Clone(targets.demands)
			targets.mu.Unlock()
		}
		if cmp.Equal(wants, got) {
			return
		}
	}
	t.Errorf("demand received (-want +got):\n%s", cmp.Diff(wants, got))
}

// TestDemandFitsOnePacket guards against messages that are cut off on the way: the parts with the least
// demand are left out.
func TestDemandFitsOnePacket(t *testing.T) {
	demand := sched.PrefixDemand{Service: "s", Calls: 1000}
	for i := range 64 {
		demand.Parts = append(demand.Parts, sched.PartDemand{ID: fmt.Sprintf("%064d", i), Tokens: 12_600, Calls: float64(100 - i), Programs: 4})
	}
	raw, err := encode(message{From: "box", Demand: &demand})
	if err != nil || len(raw) > maxDatagram {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	var got message
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	n := len(got.Demand.Parts)
	if diff := cmp.Diff(demand.Parts[:n], got.Demand.Parts); diff != "" || n < 8 {
		t.Errorf("%d parts (-want +got):\n%s", n, diff)
	}
	demand.Parts = demand.Parts[:0]
	for i := range 16 {
		demand.Parts = append(demand.Parts, sched.PartDemand{ID: fmt.Sprintf("%016d", i), Tokens: 12_600, Calls: 123.45, Programs: 4})
	}
	if raw, err = encode(message{From: "box", Demand: &demand}); err != nil || json.Unmarshal(raw, &got) != nil || len(got.Demand.Parts) != 16 {
		t.Errorf("%d of 16 parts with IDs of 16 characters fit, %v", len(got.Demand.Parts), err)
	}
}

// fakeCrashes records the crashes that one box receives.
type fakeCrashes struct {
	mu     sync.Mutex
	merged []crash.Report
	recent []crash.Report
	// granted holds the trials that are granted, by request.
	granted map[work.Fingerprint]uint64
}

func (f *fakeCrashes) Grant(_ string, req work.Fingerprint, trial uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.granted[req]; held {
		return false
	}
	if f.granted == nil {
		f.granted = map[work.Fingerprint]uint64{}
	}
	f.granted[req] = trial
	return true
}

func (f *fakeCrashes) Ungrant(req work.Fingerprint, trial uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.granted[req] == trial {
		delete(f.granted, req)
	}
}

func (f *fakeCrashes) Merge(report crash.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merged = append(f.merged, report)
}

func (f *fakeCrashes) Recent() []crash.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent
}

// TestCrashesAreRepeated checks that a crash reaches all boxes, whatever their zone, in as many messages as it needs, and
// that boxes that missed these messages hear of it within seconds.
func TestCrashesAreRepeated(t *testing.T) {
	boxes := fleet{{Name: "a", Zone: "z", Peer: freePort(t)}, {Name: "b", Zone: "z", Peer: freePort(t)}, {Name: "c", Zone: "y", Peer: freePort(t)}}
	all, watches := map[string]*fakeCrashes{}, map[string]*Watch{}
	for _, box := range boxes {
		all[box.Name] = &fakeCrashes{}
		targets := &fakeTargets{loads: map[string]work.Load{}, failing: map[string]float64{}}
		watches[box.Name] = New(box, reporter{}, targets, all[box.Name], boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := watches[box.Name].Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = watches[box.Name].Stop(context.Background()) }() // it only closes a socket
	}
	long := crash.Report{Replica: "r"}
	for n := range 2 * maxRequestsPerMessage {
		long.Requests = append(long.Requests, work.Fingerprint(fmt.Sprintf("%032d", n)))
	}
	watches["a"].SendCrash(long)
	requests := func(box string) int {
		all[box].mu.Lock()
		defer all[box].mu.Unlock()
		seen := map[work.Fingerprint]bool{}
		for _, report := range all[box].merged {
			for _, req := range report.Requests {
				seen[req] = true
			}
		}
		return len(seen)
	}
	await := func(what string, want map[string]int) {
		t.Helper()
		var got map[string]int
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			got = map[string]int{"a": requests("a"), "b": requests("b"), "c": requests("c")}
			if cmp.Equal(want, got) {
				return
			}
		}
		t.Errorf("%s, requests by box (-want +got):\n%s", what, cmp.Diff(want, got))
	}
	await("sent", map[string]int{"a": 0, "b": len(long.Requests), "c": len(long.Requests)})
	all["b"].mu.Lock()
	all["b"].recent = []crash.Report{{Replica: "r2", Requests: []work.Fingerprint{"x"}}}
	all["b"].mu.Unlock()
	await("repeated", map[string]int{"a": 1, "b": len(long.Requests), "c": len(long.Requests) + 1})
}

// TestSendCrashWaitsForOtherBoxes checks that SendCrash returns only once the other boxes know of the crash, and soon
// although one of them does not respond.
func TestSendCrashWaitsForOtherBoxes(t *testing.T) {
	boxes := fleet{{Name: "a", Zone: "z", Peer: freePort(t)}, {Name: "b", Zone: "z", Peer: freePort(t)}}
	for _, gone := range []bool{false, true} {
		if gone {
			boxes = append(boxes, work.Box{Name: "gone", Zone: "y", Peer: freePort(t)})
		}
		all, watches := map[string]*fakeCrashes{}, map[string]*Watch{}
		for _, box := range boxes[:2] {
			all[box.Name] = &fakeCrashes{}
			targets := &fakeTargets{loads: map[string]work.Load{}, failing: map[string]float64{}}
			watches[box.Name] = New(box, reporter{}, targets, all[box.Name], boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if err := watches[box.Name].Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		watches["a"].SendCrash(crash.Report{Replica: "r", Requests: []work.Fingerprint{"x"}})
		took := time.Since(start)
		all["b"].mu.Lock()
		if len(all["b"].merged) == 0 {
			t.Error("returned before the other box knows of the crash")
		}
		all["b"].mu.Unlock()
		if limit := 10 * ackAttempts * ackTimeout; took > limit {
			t.Errorf("took %v, want less than %v", took, limit)
		}
		if n := len(watches["a"].unacknowledged); n > 0 {
			t.Errorf("%d messages are still awaited", n)
		}
		for _, w := range watches {
			_ = w.Stop(context.Background()) // it only closes a socket
		}
	}
}

// TestJoiningBoxIsToldOfCrashes checks that a box that joins a large fleet hears of earlier crashes at once, and not only
// when one of the repeats reaches it by chance.
func TestJoiningBoxIsToldOfCrashes(t *testing.T) {
	boxes := fleet{{Name: "a", Zone: "y", Peer: freePort(t)}, {Name: "late", Zone: "y", Peer: freePort(t)}}
	crashes, watches := map[string]*fakeCrashes{}, map[string]*Watch{}
	for n := range 200 {
		boxes = append(boxes, work.Box{Name: fmt.Sprintf("b-%d", n), Zone: "y", Peer: boxes[0].Peer})
	}
	crashes["a"] = &fakeCrashes{recent: []crash.Report{{Replica: "r", Requests: []work.Fingerprint{"x"}}}}
	crashes["late"] = &fakeCrashes{}
	for _, box := range boxes[:2] {
		watches[box.Name] = New(box, reporter{}, &fakeTargets{}, crashes[box.Name], boxes, slog.New(slog.NewTextHandler(io.Discard, nil)))
		watches[box.Name].markInformed(boxes[2:])
		if err := watches[box.Name].Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = watches[box.Name].Stop(context.Background()) }() // it only closes a socket
	}
	told := func() bool {
		crashes["late"].mu.Lock()
		defer crashes["late"].mu.Unlock()
		return len(crashes["late"].merged) > 0
	}
	watches["a"].BoxesChanged()
	for end := time.Now().Add(2 * time.Second); !told(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a box that joined was not told of a crash")
		}
	}
}

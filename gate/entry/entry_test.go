package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

// world is a box with fakes of all that its entry uses.
type world struct {
	conf  *work.Config
	owner work.Box
	// behind are the boxes that would own the slot without the owner.
	behind   []work.Box
	doubted  bool
	cutOff   bool
	holds    bool
	patience time.Duration
	// turn is what the owner says, in order; the last answer is given again.
	turn []error
	// found is what boxes say when they are asked for a turn, by name.
	found map[string]foundAt
	mu    sync.Mutex
	// searched are the boxes that were asked for a turn.
	searched []string
	calls    []string
	// counted are the calls that quotas were asked for, spent is what they say.
	counted []string
	spent   error
}

type foundAt struct {
	text  []byte
	slots []int
	err   error
}

func (w *world) Known() access.Known { return access.Known{Config: w.conf, Proven: time.Now()} }
func (w *world) Take(_ context.Context, space work.Workspace, begins bool) (quota.Pass, error) {
	w.counted = append(w.counted, fmt.Sprintf("%s %v", space.Name, begins))
	return quota.Pass{}, w.spent
}
func (w *world) Owner(string) (work.Box, bool) { return w.owner, w.owner.Name != "" }
func (w *world) Owners(_ string, n int) []work.Box {
	if w.owner.Name == "" {
		return nil
	}
	all := append([]work.Box{w.owner}, w.behind...)
	return all[:min(n, len(all))]
}
func (w *world) Unreached(work.Box)                { w.calls = append(w.calls, "unreached") }
func (w *world) JustUnreached(work.Box) bool       { return w.doubted }
func (w *world) TakeoverIn(work.Box) time.Duration { return w.patience }
func (w *world) CutOff() bool                      { return w.cutOff }
func (w *world) Elsewhere() time.Duration          { return 100 * time.Millisecond }
func (w *world) Holds(int) bool                    { return w.holds }
func (w *world) All() []*shard.Slot                { return nil }
func (w *world) Count(string, int64)               {}
func (w *world) Get(context.Context, int) (*shard.Slot, error) {
	w.calls = append(w.calls, "here")
	if w.holds {
		return nil, nil
	}
	return nil, fault.Refuse(fault.NotOwner, "no")
}

func (w *world) Run(context.Context, *shard.Slot, *work.Call, *work.Route, work.Answer) error {
	return w.next()
}

func (w *world) Turn(_ context.Context, box work.Box, _ int, _ *work.Call, _ *work.Route, _ work.Answer) error {
	w.calls = append(w.calls, "to "+box.Name)
	return w.next()
}

func (w *world) next() error {
	err := w.turn[0]
	if len(w.turn) > 1 {
		w.turn = w.turn[1:]
	}
	return err
}

func (w *world) Find(_ context.Context, box work.Box, _ string, _ int) ([]byte, []int, error) {
	w.mu.Lock()
	w.searched = append(w.searched, box.Name)
	w.mu.Unlock()
	got := w.found[box.Name]
	return got.text, got.slots, got.err
}

func (w *world) Carry(context.Context, *work.Call, *work.Route, work.Answer) error {
	w.calls = append(w.calls, "carried")
	return nil
}

func (w *world) handle(call *work.Call) error {
	e := New(work.Box{Name: "a", Zone: "a"}, shard.NewLayout(2), work.Regions{"a": "north", "b": "south"}, w, access.New(access.Bounds{Apply: time.Second}), w, w, w, w, w, w, w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return e.Handle(context.Background(), call, time.Minute, nil)
}

func newWorld() *world {
	routes := []work.Route{
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: work.Stream, Timeout: 5 * time.Second, Stateful: true, Priority: 1, Splits: []work.Split{{Service: "m", Weight: 1}}},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: work.Repeatable, Timeout: time.Second},
	}
	return &world{conf: work.NewConfig(1, routes, nil, work.Limits{}), owner: work.Box{Name: "b"}, turn: []error{nil}}
}

func boxes(names ...string) []work.Box {
	var all []work.Box
	for _, name := range names {
		all = append(all, work.Box{Name: name})
	}
	return all
}

func turnCall(previous string) *work.Call {
	return &work.Call{ID: "i", Host: "H:80", Target: "/chat/x?q", Arrived: time.Now(), Turn: &work.Turn{Program: "p", Previous: previous}}
}

func TestWays(t *testing.T) {
	gone := fault.Refuse(fault.PeerLost, "gone")
	notOwner := fault.Refuse(fault.NotOwner, "not mine")
	cases := []struct {
		name  string
		set   func(w *world)
		kind  fault.Kind
		after time.Duration
		calls []string
	}{
		{"to the owner", func(*world) {}, "", 0, []string{"to b"}},
		{"this box holds the slot, whoever should", func(w *world) { w.holds = true }, "", 0, []string{"here"}},
		{"to the holder while the owner joins", func(w *world) { w.behind, w.turn = boxes("c"), []error{notOwner, nil} }, "", 0, []string{"to b", "to c"}},
		{"the owner's word counts if no holder is found", func(w *world) {
			w.behind, w.turn, w.patience = boxes("c"), []error{gone, notOwner}, 300*time.Millisecond
		}, fault.TurnUnknown, 300 * time.Millisecond, []string{"to b", "unreached", "to c", "to b", "to c"}},
		{"no more than a few are asked", func(w *world) {
			w.behind, w.turn = boxes("c", "d", "e", "f", "g"), []error{notOwner, notOwner, notOwner, notOwner, nil}
		}, "", 0, []string{"to b", "to c", "to d", "to e", "to b"}},
		{"a holder that may have run it ends the search", func(w *world) {
			w.behind, w.turn = boxes("c", "d"), []error{notOwner, fault.Fail(fault.PeerLost, "broke off")}
		}, fault.PeerLost, 0, []string{"to b", "to c", "unreached"}},
		{"again after a hand-over", func(w *world) { w.turn = []error{notOwner, nil} }, "", 0, []string{"to b", "to b"}},
		{"owner not reached", func(w *world) { w.turn, w.patience = []error{gone}, 400*time.Millisecond }, fault.TurnUnknown, 400 * time.Millisecond, []string{"to b", "unreached", "to b", "unreached"}},
		{"no connection to the owner is free", func(w *world) {
			w.turn = []error{fault.Refuse(fault.OwnerUnknown, "full").After(200 * time.Millisecond)}
		}, fault.TurnUnknown, 0, []string{"to b", "to b"}},
		{"owner not reached a moment ago", func(w *world) { w.doubted = true }, fault.TurnUnknown, 0, nil},
		{"cut off", func(w *world) { w.cutOff = true }, fault.OwnerUnknown, 100 * time.Millisecond, nil},
		{"no box", func(w *world) { w.owner = work.Box{} }, fault.TurnUnknown, retryUnknown, nil},
		{"may have run", func(w *world) { w.turn = []error{fault.Fail(fault.PeerLost, "broke off")} }, fault.PeerLost, 0, []string{"to b", "unreached"}},
		{"budget spent", func(w *world) { w.turn = []error{fault.Refuse(fault.BudgetSpent, "spent")} }, fault.BudgetSpent, 0, []string{"to b"}},
		{"the owner lies outside of the route's regions", func(w *world) {
			w.conf.Routes[0].Regions, w.owner.Zone = []string{"north"}, "b"
		}, fault.NoTarget, 0, nil},
		{"the owner lies in the caller's region", func(w *world) { w.conf.Routes[0].Regions, w.owner.Zone = []string{"east"}, "a" }, "", 0, []string{"to b"}},
		{"no configuration", func(w *world) { w.conf = nil }, fault.NoConfig, retryUnknown, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				c.set(w)
				err := w.handle(turnCall(""))
				if (err == nil) != (c.kind == "") || (err != nil && (!fault.Is(err, c.kind) || fault.From(err).RetryAfter != c.after)) {
					t.Errorf("fault %v after %v", err, fault.From(err).RetryAfter)
				}
				if diff := cmp.Diff(c.calls, w.calls); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestSearch checks that 404 is said only if the owners of all slots have said so.
func TestSearch(t *testing.T) {
	none := fault.Refuse(fault.NoTurn, "not kept")
	cases := []struct {
		name string
		b, c foundAt
		kind fault.Kind
	}{
		{"found", foundAt{text: []byte("x")}, foundAt{}, ""},
		{"all slots are sure", foundAt{slots: []int{0}}, foundAt{slots: []int{1}}, fault.NoTurn},
		{"a slot is not", foundAt{slots: []int{0}}, foundAt{}, fault.TurnUnknown},
		{"a box does not answer", foundAt{slots: []int{0}}, foundAt{err: fault.Refuse(fault.PeerLost, "gone")}, fault.TurnUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				w.turn = []error{none, nil}
				w.found = map[string]foundAt{"b": c.b, "c": c.c}
				w.behind = boxes("c")
				call := turnCall("before")
				err := w.handle(call)
				if (err == nil) != (c.kind == "") || (err != nil && !fault.Is(err, c.kind)) {
					t.Errorf("fault %v", err)
				}
				if err == nil && string(call.Turn.Base) != "x" {
					t.Errorf("base %q", call.Turn.Base)
				}
			})
		})
	}
}

// TestSearchAsksFew checks that a search ends with the owners of slots where those hold all: boxes that
// own none are not asked.
func TestSearchAsksFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.turn = []error{fault.Refuse(fault.NoTurn, "not kept")}
		w.behind = boxes("c", "d", "e", "f", "g")
		w.found = map[string]foundAt{"b": {slots: []int{0, 1}}}
		if err := w.handle(turnCall("before")); !fault.Is(err, fault.NoTurn) {
			t.Errorf("fault %v", err)
		}
		if diff := cmp.Diff([]string{"b"}, w.searched); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
		w.found, w.searched = map[string]foundAt{}, nil
		if err := w.handle(turnCall("before")); !fault.Is(err, fault.TurnUnknown) {
			t.Errorf("fault %v", err)
		}
		if got := len(w.searched); got != ownerRanks {
			t.Errorf("%d boxes asked for slots that nobody holds", got)
		}
	})
}

func TestRoutes(t *testing.T) {
	w := newWorld()
	if err := w.handle(&work.Call{ID: "i", Host: "h", Target: "/none/x", Arrived: time.Now()}); !fault.Is(err, fault.NoRoute) {
		t.Errorf("fault %v", err)
	}
	call := &work.Call{ID: "i", Host: "h", Target: "/look/x", Arrived: time.Now()}
	if err := w.handle(call); err != nil || call.Deadline.Sub(call.Arrived) != time.Second {
		t.Errorf("%v, bounded to %v", err, call.Deadline.Sub(call.Arrived))
	}
	if first, later := urgency(turnCall(""), work.Workspace{}, &w.conf.Routes[0]), urgency(turnCall("x"), work.Workspace{}, &w.conf.Routes[0]); first <= later {
		t.Errorf("a first turn is as urgent (%d) as a later one (%d)", first, later)
	}
}

// TestWorkspaces checks that a call belongs to the workspace of its key, counts against its quota, and takes the
// workspace's priority before the route's.
func TestWorkspaces(t *testing.T) {
	key := ident.KeyDigest("secret")
	w := newWorld()
	w.conf.Callers = work.NewCallers([]work.Workspace{{Name: "north", KeyDigests: []string{key}, Priority: 1, Rate: 10}})
	call := turnCall("")
	call.KeyDigest = key
	if err := w.handle(call); err != nil {
		t.Fatal(err)
	}
	next := turnCall("before")
	next.KeyDigest = key
	if err := w.handle(next); err != nil {
		t.Fatal(err)
	}
	if call.Workspace != "north" || call.Priority != spaceStep+routeStep+beginLater || next.Priority != spaceStep+routeStep {
		t.Errorf("workspace %q, priorities %d and %d", call.Workspace, call.Priority, next.Priority)
	}
	if diff := cmp.Diff([]string{"north true", "north false"}, w.counted); diff != "" {
		t.Errorf("counted (-want +got):\n%s", diff)
	}
	w.spent = fault.Refuse(fault.QuotaReached, "spent")
	if err := w.handle(next); !fault.Is(err, fault.QuotaReached) {
		t.Errorf("beyond the quota: %v", err)
	}
	before := len(w.calls)
	stranger := turnCall("")
	stranger.KeyDigest = ident.KeyDigest("other")
	if err := w.handle(stranger); !fault.Is(err, fault.Unauthorized) || len(w.calls) != before {
		t.Errorf("a stranger's call: %v, then %v", err, w.calls[before:])
	}
}

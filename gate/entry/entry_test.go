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

// fakeBox implements every interface that an Entry uses.
type fakeBox struct {
	conf  *work.Config
	owner work.Box
	// nextOwners are the boxes that would own the slot if the owner were gone, in order.
	nextOwners        []work.Box
	recentlyUnreached bool
	cutOff            bool
	holds             bool
	takeoverDelay     time.Duration
	// turnResults are the results of running the turn, in order; the last one repeats.
	turnResults []error
	// findReplies are the answers to a search for a turn, by box name.
	findReplies map[string]findReply
	mu          sync.Mutex
	// searched holds the names of the boxes that were asked for a turn.
	searched []string
	calls    []string
	// quotaCalls records the calls of Take, quotaErr is its result.
	quotaCalls []string
	quotaErr   error
}

type findReply struct {
	text  []byte
	slots []int
	err   error
}

func (w *fakeBox) Known() access.ConfigSnapshot {
	return access.ConfigSnapshot{Config: w.conf, ConfirmedAt: time.Now()}
}
func (w *fakeBox) Take(_ context.Context, space work.Workspace, begins bool) (quota.Permit, error) {
	w.quotaCalls = append(w.quotaCalls, fmt.Sprintf("%s %v", space.Name, begins))
	return quota.Permit{}, w.quotaErr
}
func (w *fakeBox) Owner(string) (work.Box, bool) { return w.owner, w.owner.Name != "" }
func (w *fakeBox) Owners(_ string, n int) []work.Box {
	if w.owner.Name == "" {
		return nil
	}
	all := append([]work.Box{w.owner}, w.nextOwners...)
	return all[:min(n, len(all))]
}
func (w *fakeBox) MarkUnreachable(work.Box)          { w.calls = append(w.calls, "unreached") }
func (w *fakeBox) RecentlyUnreachable(work.Box) bool { return w.recentlyUnreached }
func (w *fakeBox) TakeoverIn(work.Box) time.Duration { return w.takeoverDelay }
func (w *fakeBox) CutOff() bool                      { return w.cutOff }
func (w *fakeBox) RetryDelay() time.Duration         { return 100 * time.Millisecond }
func (w *fakeBox) Holds(int) bool                    { return w.holds }
func (w *fakeBox) All() []*shard.Slot                { return nil }
func (w *fakeBox) Count(string, int64)               {}
func (w *fakeBox) Get(context.Context, int) (*shard.Slot, error) {
	w.calls = append(w.calls, "here")
	if w.holds {
		return nil, nil
	}
	return nil, fault.Refuse(fault.NotOwner, "no")
}

func (w *fakeBox) Run(context.Context, *shard.Slot, *work.Call, *work.Route, work.Answer) error {
	return w.next()
}

func (w *fakeBox) Turn(_ context.Context, box work.Box, _ int, _ *work.Call, _ *work.Route, _ work.Answer) error {
	w.calls = append(w.calls, "to "+box.Name)
	return w.next()
}

func (w *fakeBox) next() error {
	err := w.turnResults[0]
	if len(w.turnResults) > 1 {
		w.turnResults = w.turnResults[1:]
	}
	return err
}

func (w *fakeBox) Find(_ context.Context, box work.Box, _ string, _ int) ([]byte, []int, error) {
	w.mu.Lock()
	w.searched = append(w.searched, box.Name)
	w.mu.Unlock()
	got := w.findReplies[box.Name]
	return got.text, got.slots, got.err
}

func (w *fakeBox) Forward(context.Context, *work.Call, *work.Route, work.Answer) error {
	w.calls = append(w.calls, "carried")
	return nil
}

func (w *fakeBox) handle(call *work.Call) error {
	e := New(work.Box{Name: "a", Zone: "a"}, shard.NewLayout(2), work.Regions{"a": "north", "b": "south"}, w, access.New(access.Bounds{Apply: time.Second}), w, w, w, w, w, w, w, w, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return e.Handle(context.Background(), call, time.Minute, nil)
}

func newFakeBox() *fakeBox {
	routes := []work.Route{
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: work.Stream, Timeout: 5 * time.Second, Stateful: true, Priority: 1, Splits: []work.Split{{Service: "m", Weight: 1}}},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: work.Repeatable, Timeout: time.Second},
	}
	return &fakeBox{conf: work.NewConfig(1, routes, nil, work.Limits{}), owner: work.Box{Name: "b"}, turnResults: []error{nil}}
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

// TestTurnRouting checks which boxes a turn is sent to, in order, and the fault that the caller gets.
func TestTurnRouting(t *testing.T) {
	gone := fault.Refuse(fault.PeerUnreachable, "gone")
	notOwner := fault.Refuse(fault.NotOwner, "not mine")
	cases := []struct {
		name  string
		set   func(w *fakeBox)
		kind  fault.Kind
		after time.Duration
		calls []string
	}{
		{"to the owner", func(*fakeBox) {}, "", 0, []string{"to b"}},
		{"this box holds the slot, another should own it", func(w *fakeBox) { w.holds = true }, "", 0, []string{"here"}},
		{"to the holder while the owner joins", func(w *fakeBox) { w.nextOwners, w.turnResults = boxes("c"), []error{notOwner, nil} }, "", 0, []string{"to b", "to c"}},
		{"the owner's fault is returned if no box holds the slot", func(w *fakeBox) {
			w.nextOwners, w.turnResults, w.takeoverDelay = boxes("c"), []error{gone, notOwner}, 300*time.Millisecond
		}, fault.TurnNotKnownYet, 300 * time.Millisecond, []string{"to b", "unreached", "to c", "to b", "to c"}},
		{"at most ownerCandidates boxes are asked", func(w *fakeBox) {
			w.nextOwners, w.turnResults = boxes("c", "d", "e", "f", "g"), []error{notOwner, notOwner, notOwner, notOwner, nil}
		}, "", 0, []string{"to b", "to c", "to d", "to e", "to b"}},
		{"no other box is tried once one may have run the turn", func(w *fakeBox) {
			w.nextOwners, w.turnResults = boxes("c", "d"), []error{notOwner, fault.Fail(fault.PeerUnreachable, "broke off")}
		}, fault.PeerUnreachable, 0, []string{"to b", "to c", "unreached"}},
		{"retried after a handover", func(w *fakeBox) { w.turnResults = []error{notOwner, nil} }, "", 0, []string{"to b", "to b"}},
		{"owner not reached", func(w *fakeBox) { w.turnResults, w.takeoverDelay = []error{gone}, 400*time.Millisecond }, fault.TurnNotKnownYet, 400 * time.Millisecond, []string{"to b", "unreached", "to b", "unreached"}},
		{"no free connection to the owner", func(w *fakeBox) {
			w.turnResults = []error{fault.Refuse(fault.OwnerUnavailable, "full").WithRetryAfter(200 * time.Millisecond)}
		}, fault.TurnNotKnownYet, 0, []string{"to b", "to b"}},
		{"owner recently unreachable", func(w *fakeBox) { w.recentlyUnreached = true }, fault.TurnNotKnownYet, 0, nil},
		{"cut off", func(w *fakeBox) { w.cutOff = true }, fault.OwnerUnavailable, 100 * time.Millisecond, nil},
		{"no box", func(w *fakeBox) { w.owner = work.Box{} }, fault.TurnNotKnownYet, retryOwnerUnknown, nil},
		{"may have run", func(w *fakeBox) { w.turnResults = []error{fault.Fail(fault.PeerUnreachable, "broke off")} }, fault.PeerUnreachable, 0, []string{"to b", "unreached"}},
		{"budget spent", func(w *fakeBox) { w.turnResults = []error{fault.Refuse(fault.BudgetSpent, "spent")} }, fault.BudgetSpent, 0, []string{"to b"}},
		{"the owner lies outside of the route's regions", func(w *fakeBox) {
			w.conf.Routes[0].Regions, w.owner.Zone = []string{"north"}, "b"
		}, fault.NoTarget, 0, nil},
		{"the owner lies in the caller's region", func(w *fakeBox) { w.conf.Routes[0].Regions, w.owner.Zone = []string{"east"}, "a" }, "", 0, []string{"to b"}},
		{"no configuration", func(w *fakeBox) { w.conf = nil }, fault.NoConfig, retryOwnerUnknown, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeBox()
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

// TestTurnSearch checks that NoTurn is returned only if the owners of all slots have ruled the turn out.
func TestTurnSearch(t *testing.T) {
	none := fault.Refuse(fault.NoTurn, "not kept")
	cases := []struct {
		name string
		b, c findReply
		kind fault.Kind
	}{
		{"found", findReply{text: []byte("x")}, findReply{}, ""},
		{"ruled out by all slots", findReply{slots: []int{0}}, findReply{slots: []int{1}}, fault.NoTurn},
		{"not ruled out by one slot", findReply{slots: []int{0}}, findReply{}, fault.TurnNotKnownYet},
		{"a box does not answer", findReply{slots: []int{0}}, findReply{err: fault.Refuse(fault.PeerUnreachable, "gone")}, fault.TurnNotKnownYet},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeBox()
				w.turnResults = []error{none, nil}
				w.findReplies = map[string]findReply{"b": c.b, "c": c.c}
				w.nextOwners = boxes("c")
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

// TestTurnSearchAsksOwnersOnly checks that a search asks only the owners if these hold all slots, and never
// more than the candidate owners.
func TestTurnSearchAsksOwnersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeBox()
		w.turnResults = []error{fault.Refuse(fault.NoTurn, "not kept")}
		w.nextOwners = boxes("c", "d", "e", "f", "g")
		w.findReplies = map[string]findReply{"b": {slots: []int{0, 1}}}
		if err := w.handle(turnCall("before")); !fault.Is(err, fault.NoTurn) {
			t.Errorf("fault %v", err)
		}
		if diff := cmp.Diff([]string{"b"}, w.searched); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
		w.findReplies, w.searched = map[string]findReply{}, nil
		if err := w.handle(turnCall("before")); !fault.Is(err, fault.TurnNotKnownYet) {
			t.Errorf("fault %v", err)
		}
		if got := len(w.searched); got != ownerCandidates {
			t.Errorf("%d boxes asked for slots that nobody holds", got)
		}
	})
}

// TestRoutes checks routing and the deadline of a call, and that a first turn is less urgent than later ones.
func TestRoutes(t *testing.T) {
	w := newFakeBox()
	if err := w.handle(&work.Call{ID: "i", Host: "h", Target: "/none/x", Arrived: time.Now()}); !fault.Is(err, fault.NoRoute) {
		t.Errorf("fault %v", err)
	}
	call := &work.Call{ID: "i", Host: "h", Target: "/look/x", Arrived: time.Now()}
	if err := w.handle(call); err != nil || call.Deadline.Sub(call.Arrived) != time.Second {
		t.Errorf("%v, deadline after %v", err, call.Deadline.Sub(call.Arrived))
	}
	if first, later := replicaPriority(turnCall(""), work.Workspace{}, &w.conf.Routes[0]), replicaPriority(turnCall("x"), work.Workspace{}, &w.conf.Routes[0]); first <= later {
		t.Errorf("a first turn is as urgent (%d) as a later one (%d)", first, later)
	}
}

// TestWorkspaces checks that a call is assigned to the workspace of its key, counts against its quota, and
// that the priorities of the workspace and the route add up.
func TestWorkspaces(t *testing.T) {
	key := ident.KeyDigest("secret")
	w := newFakeBox()
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
	if call.Workspace != "north" || call.Priority != workspaceStep+routeStep+firstTurnPenalty || next.Priority != workspaceStep+routeStep {
		t.Errorf("workspace %q, priorities %d and %d", call.Workspace, call.Priority, next.Priority)
	}
	if diff := cmp.Diff([]string{"north true", "north false"}, w.quotaCalls); diff != "" {
		t.Errorf("counted (-want +got):\n%s", diff)
	}
	w.quotaErr = fault.Refuse(fault.QuotaReached, "spent")
	if err := w.handle(next); !fault.Is(err, fault.QuotaReached) {
		t.Errorf("beyond the quota: %v", err)
	}
	before := len(w.calls)
	unknown := turnCall("")
	unknown.KeyDigest = ident.KeyDigest("other")
	if err := w.handle(unknown); !fault.Is(err, fault.Unauthorized) || len(w.calls) != before {
		t.Errorf("a call with an unknown key: %v, then %v", err, w.calls[before:])
	}
}

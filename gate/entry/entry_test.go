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
	// turnsByBox holds the results of running the turn by box, for tests that need more than turnResults.
	turnsByBox map[string]error
	// known is the owner that this box has learned, logged the one that the log names.
	known, logged work.Owner
	takeoverDelay time.Duration
	// turnResults are the results of running the turn, in order; the last one repeats.
	turnResults []error
	// findReplies are the answers to a search for a turn, by box name.
	findReplies map[string]findReply
	mu          sync.Mutex
	// searched holds the names of the boxes that were asked for a turn.
	searched []string
	// calls records, in order, where the call was sent and the boxes marked as unreachable.
	calls []string
	// quotaCalls records the calls of Take; quotaErr is its result.
	quotaCalls []string
	quotaErr   error
}

type findReply struct {
	text  []byte
	slots []int
	err   error
}

func (f *fakeBox) Current() access.ConfigSnapshot {
	return access.ConfigSnapshot{Config: f.conf, ConfirmedAt: time.Now()}
}
func (f *fakeBox) Take(_ context.Context, space work.Workspace, begins bool) (quota.Permit, error) {
	f.quotaCalls = append(f.quotaCalls, fmt.Sprintf("%s %v", space.Name, begins))
	return quota.Permit{}, f.quotaErr
}
func (f *fakeBox) Owner(string) (work.Box, bool) { return f.owner, f.owner.Name != "" }
func (f *fakeBox) Owners(_ string, n int) []work.Box {
	if f.owner.Name == "" {
		return nil
	}
	all := append([]work.Box{f.owner}, f.nextOwners...)
	return all[:min(n, len(all))]
}
func (f *fakeBox) MarkUnreachable(work.Box)           { f.calls = append(f.calls, "unreached") }
func (f *fakeBox) RecentlyUnreachable(work.Box) bool  { return f.recentlyUnreached }
func (f *fakeBox) TakeoverIn(work.Box) time.Duration  { return f.takeoverDelay }
func (f *fakeBox) CutOff() bool                       { return f.cutOff }
func (f *fakeBox) RetryDelay() time.Duration          { return 100 * time.Millisecond }
func (f *fakeBox) Holds(int) bool                     { return f.holds }
func (f *fakeBox) Prepare(int)                        { f.calls = append(f.calls, "prepare") }
func (f *fakeBox) All() []*shard.Slot                 { return nil }
func (f *fakeBox) KnownOwner(int) (work.Owner, bool)  { return f.known, f.known.Box.Name != "" }
func (f *fakeBox) LearnOwner(_ int, owner work.Owner) { f.known = owner }
func (f *fakeBox) ForgetOwner(_ int, box work.Box) {
	if f.known.Box.Name == box.Name {
		f.known = work.Owner{}
	}
}
func (f *fakeBox) LookUpOwner(context.Context, int) (work.Owner, bool) {
	if f.logged.Box.Name != "" {
		f.known = f.logged
	}
	return f.logged, f.logged.Box.Name != ""
}
func (f *fakeBox) Count(string, int64) {}
func (f *fakeBox) Get(context.Context, int) (*shard.Slot, error) {
	f.calls = append(f.calls, "here")
	if f.holds {
		return nil, nil
	}
	return nil, fault.Refuse(fault.NotOwner, "no")
}

func (f *fakeBox) Run(context.Context, *shard.Slot, *work.Call, *work.Route, work.Answer) error {
	return f.next()
}

func (f *fakeBox) Turn(_ context.Context, box work.Box, _ int, unreached []work.Box, _ *work.Call, _ *work.Route, _ work.Answer) error {
	f.calls = append(f.calls, "to "+box.Name+withoutBoxes(unreached))
	if f.turnsByBox != nil {
		return f.turnsByBox[box.Name]
	}
	return f.next()
}

// Confirm records the boxes whose failure is to be confirmed.
func (f *fakeBox) Confirm(_ context.Context, unreached []work.Box, likely func()) {
	f.calls = append(f.calls, "confirm"+withoutBoxes(unreached))
	likely()
}

// withoutBoxes returns the names of the boxes that a turn is sent on without.
func withoutBoxes(unreached []work.Box) string {
	text := ""
	for _, box := range unreached {
		text += " without " + box.Name
	}
	return text
}

func (f *fakeBox) next() error {
	err := f.turnResults[0]
	if len(f.turnResults) > 1 {
		f.turnResults = f.turnResults[1:]
	}
	return err
}

func (f *fakeBox) Find(_ context.Context, box work.Box, _ string, _ int, confirm bool) ([]byte, []int, error) {
	name := box.Name
	if confirm {
		name += " confirmed"
	}
	f.mu.Lock()
	f.searched = append(f.searched, name)
	f.mu.Unlock()
	got := f.findReplies[box.Name]
	return got.text, got.slots, got.err
}

func (f *fakeBox) Forward(context.Context, *work.Call, *work.Route, work.Answer) error {
	f.calls = append(f.calls, "carried")
	return nil
}

func (f *fakeBox) handle(call *work.Call) error {
	e := New(work.Box{Name: "a", Zone: "a"}, shard.NewLayout(2), work.Regions{"a": "north", "b": "south"}, f, access.New(access.Bounds{Apply: time.Second}), f, f, f, f, f, f, f, noCrashes{}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		set   func(f *fakeBox)
		kind  fault.Kind
		after time.Duration
		calls []string
	}{
		{"to the owner", func(*fakeBox) {}, "", 0, []string{"to b"}},
		{"this box holds the slot, another should own it", func(f *fakeBox) { f.holds = true }, "", 0, []string{"here"}},
		{"to the holder while the owner joins", func(f *fakeBox) { f.nextOwners, f.turnResults = boxes("c"), []error{notOwner, nil} }, "", 0, []string{"to b", "to c"}},
		{"the owner's fault is returned if no box holds the slot", func(f *fakeBox) {
			f.nextOwners, f.turnResults, f.takeoverDelay = boxes("c"), []error{gone, notOwner}, 300*time.Millisecond
		}, fault.TurnNotKnownYet, 300 * time.Millisecond, []string{"to b", "unreached", "to c without b", "to b", "to c"}},
		{"the next box takes over from unreachable ones", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("c", "d"), []error{gone, gone, nil}
		}, "", 0, []string{"to b", "unreached", "to c without b", "unreached", "to d without b without c"}},
		{"this box is not the next and does not ask for confirmation", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("c", "a", "d"), []error{gone, notOwner, nil}
		}, "", 0, []string{"to b", "unreached", "to c without b", "here", "to d without b"}},
		{"a box that answers is not named", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("c", "d"), []error{notOwner, gone, nil}
		}, "", 0, []string{"to b", "to c", "unreached", "to d without c"}},
		{"this box is the next and asks for confirmation", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("a", "c"), []error{gone, nil}
		}, "", 0, []string{"to b", "unreached", "confirm without b", "prepare", "here", "to c without b"}},
		{"at most ownerCandidates boxes are asked", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("c", "d", "e", "f", "g"), []error{notOwner, notOwner, notOwner, notOwner, nil}
		}, "", 0, []string{"to b", "to c", "to d", "to e", "to b"}},
		{"no other box is tried once one may have run the turn", func(f *fakeBox) {
			f.nextOwners, f.turnResults = boxes("c", "d"), []error{notOwner, fault.Fail(fault.PeerUnreachable, "broke off")}
		}, fault.PeerUnreachable, 0, []string{"to b", "to c", "unreached"}},
		{"retried after a handover", func(f *fakeBox) { f.turnResults = []error{notOwner, nil} }, "", 0, []string{"to b", "to b"}},
		{"owner not reached", func(f *fakeBox) { f.turnResults, f.takeoverDelay = []error{gone}, 400*time.Millisecond }, fault.TurnNotKnownYet, 400 * time.Millisecond, []string{"to b", "unreached", "to b", "unreached"}},
		{"no free connection to the owner", func(f *fakeBox) {
			f.turnResults = []error{fault.Refuse(fault.OwnerUnavailable, "full").WithRetryAfter(200 * time.Millisecond)}
		}, fault.TurnNotKnownYet, 0, []string{"to b", "to b"}},
		{"owner recently unreachable", func(f *fakeBox) { f.recentlyUnreached = true }, fault.TurnNotKnownYet, 0, nil},
		{"cut off", func(f *fakeBox) { f.cutOff = true }, fault.OwnerUnavailable, 100 * time.Millisecond, nil},
		{"no box", func(f *fakeBox) { f.owner = work.Box{} }, fault.TurnNotKnownYet, retryOwnerUnknown, nil},
		{"may have run", func(f *fakeBox) { f.turnResults = []error{fault.Fail(fault.PeerUnreachable, "broke off")} }, fault.PeerUnreachable, 0, []string{"to b", "unreached"}},
		{"budget spent", func(f *fakeBox) { f.turnResults = []error{fault.Refuse(fault.BudgetSpent, "spent")} }, fault.BudgetSpent, 0, []string{"to b"}},
		{"the owner lies outside of the route's regions", func(f *fakeBox) {
			f.conf.Routes[0].Regions, f.owner.Zone = []string{"north"}, "b"
		}, fault.NoTarget, 0, nil},
		{"the owner lies in the caller's region", func(f *fakeBox) { f.conf.Routes[0].Regions, f.owner.Zone = []string{"east"}, "a" }, "", 0, []string{"to b"}},
		{"no configuration", func(f *fakeBox) { f.conf = nil }, fault.NoConfig, retryOwnerUnknown, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeBox()
				c.set(f)
				err := f.handle(turnCall(""))
				if (err == nil) != (c.kind == "") || (err != nil && (!fault.Is(err, c.kind) || fault.From(err).RetryAfter != c.after)) {
					t.Errorf("fault %v after %v", err, fault.From(err).RetryAfter)
				}
				if diff := cmp.Diff(c.calls, f.calls); diff != "" {
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
				f := newFakeBox()
				f.turnResults = []error{none, nil}
				f.findReplies = map[string]findReply{"b": c.b, "c": c.c}
				f.nextOwners = boxes("c")
				call := turnCall("before")
				err := f.handle(call)
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

// TestTurnSearchAsksOwnersOnly checks that a search asks only the expected owners if these hold all slots, and
// asks them to confirm that before it fails, and at most ownerCandidates boxes for each slot otherwise.
func TestTurnSearchAsksOwnersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeBox()
		f.turnResults = []error{fault.Refuse(fault.NoTurn, "not kept")}
		f.nextOwners = boxes("c", "d", "e", "f", "g")
		f.findReplies = map[string]findReply{"b": {slots: []int{0, 1}}}
		if err := f.handle(turnCall("before")); !fault.Is(err, fault.NoTurn) {
			t.Errorf("fault %v", err)
		}
		if diff := cmp.Diff([]string{"b", "b confirmed"}, f.searched); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
		f.findReplies, f.searched = map[string]findReply{}, nil
		if err := f.handle(turnCall("before")); !fault.Is(err, fault.TurnNotKnownYet) {
			t.Errorf("fault %v", err)
		}
		if got := len(f.searched); got != ownerCandidates {
			t.Errorf("%d boxes asked for slots that nobody holds", got)
		}
	})
}

// TestRoutes checks routing and the deadline of a call, and that a first turn is less urgent than later ones.
func TestRoutes(t *testing.T) {
	f := newFakeBox()
	if err := f.handle(&work.Call{ID: "i", Host: "h", Target: "/none/x", Arrived: time.Now()}); !fault.Is(err, fault.NoRoute) {
		t.Errorf("fault %v", err)
	}
	call := &work.Call{ID: "i", Host: "h", Target: "/look/x", Arrived: time.Now()}
	if err := f.handle(call); err != nil || call.Deadline.Sub(call.Arrived) != time.Second {
		t.Errorf("%v, deadline after %v", err, call.Deadline.Sub(call.Arrived))
	}
	if first, later := replicaPriority(turnCall(""), work.Workspace{}, &f.conf.Routes[0]), replicaPriority(turnCall("x"), work.Workspace{}, &f.conf.Routes[0]); first <= later {
		t.Errorf("a first turn is as urgent (%d) as a later one (%d)", first, later)
	}
}

// TestWorkspaces checks that a call is assigned to the workspace of its key, counts against its quota, and
// that the priorities of the workspace and the route add up.
func TestWorkspaces(t *testing.T) {
	key := ident.KeyDigest("secret")
	f := newFakeBox()
	f.conf.Callers = work.NewWorkspaceIndex([]work.Workspace{{Name: "north", KeyDigests: []string{key}, Priority: 1, Rate: 10}})
	call := turnCall("")
	call.KeyDigest = key
	if err := f.handle(call); err != nil {
		t.Fatal(err)
	}
	next := turnCall("before")
	next.KeyDigest = key
	if err := f.handle(next); err != nil {
		t.Fatal(err)
	}
	if call.Workspace != "north" || call.Priority != workspaceWeight+routeWeight+firstTurnPenalty || next.Priority != workspaceWeight+routeWeight {
		t.Errorf("workspace %q, priorities %d and %d", call.Workspace, call.Priority, next.Priority)
	}
	if diff := cmp.Diff([]string{"north true", "north false"}, f.quotaCalls); diff != "" {
		t.Errorf("counted (-want +got):\n%s", diff)
	}
	f.quotaErr = fault.Refuse(fault.QuotaReached, "spent")
	if err := f.handle(next); !fault.Is(err, fault.QuotaReached) {
		t.Errorf("beyond the quota: %v", err)
	}
	before := len(f.calls)
	unknown := turnCall("")
	unknown.KeyDigest = ident.KeyDigest("other")
	if err := f.handle(unknown); !fault.Is(err, fault.Unauthorized) || len(f.calls) != before {
		t.Errorf("a call with an unknown key: %v, then %v", err, f.calls[before:])
	}
}

// noCrashes refuses no request.
type noCrashes struct{}

func (noCrashes) Check(work.Fingerprint) error { return nil }
func (noCrashes) Await(work.Fingerprint)       {}

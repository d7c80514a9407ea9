package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// TestOwnerOutsideOfCandidatesIsFound guards against turns that were refused while their owner was not among the
// candidates of this box's view, although others, or the log, knew it.
func TestOwnerOutsideOfCandidatesIsFound(t *testing.T) {
	refusal := fault.Refuse(fault.NotOwner, "not mine")
	names := func(owner string) error {
		return &work.MovedError{Owner: work.Owner{Box: work.Box{Name: owner}, Epoch: 7}, Cause: refusal}
	}
	cases := map[string]struct {
		set   func(f *fakeBox)
		calls []string
	}{
		"named by the previous owner": {func(f *fakeBox) {
			f.turnsByBox = map[string]error{"b": refusal, "c": names("x"), "d": refusal, "e": refusal}
		}, []string{"to b", "to c", "to x"}},
		"named by a box that another names": {func(f *fakeBox) {
			f.turnsByBox = map[string]error{"b": names("c"), "c": names("x"), "d": refusal, "e": refusal}
		}, []string{"to b", "to c", "to x"}},
		"known from an earlier turn": {func(f *fakeBox) {
			f.known = work.Owner{Box: work.Box{Name: "x"}}
			f.turnsByBox = map[string]error{"b": refusal}
		}, []string{"to x"}},
		"no longer the owner": {func(f *fakeBox) {
			f.known = work.Owner{Box: work.Box{Name: "d"}}
			f.turnsByBox = map[string]error{"b": refusal, "c": nil, "d": refusal}
		}, []string{"to d", "to b", "to c"}},
		"named by the log": {func(f *fakeBox) {
			f.logged = work.Owner{Box: work.Box{Name: "x"}}
			f.turnsByBox = map[string]error{"b": refusal, "c": refusal, "d": refusal, "e": refusal}
		}, []string{"to b", "to c", "to d", "to e", "to x"}},
		"boxes that name each other": {func(f *fakeBox) {
			f.turnsByBox = map[string]error{"b": names("c"), "c": names("b"), "d": names("c"), "e": nil}
		}, []string{"to b", "to c", "to d", "to e"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFakeBox()
			f.nextOwners = boxes("c", "d", "e")
			c.set(f)
			if err := f.handle(turnCall("")); err != nil {
				t.Errorf("the turn failed: %v", err)
			}
			if diff := cmp.Diff(c.calls, f.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNamedOwnersAreBounded checks that a turn is not passed on for ever by boxes that each name another one.
func TestNamedOwnersAreBounded(t *testing.T) {
	f := newFakeBox()
	f.turnsByBox = map[string]error{}
	name := "b"
	for range 50 {
		f.turnsByBox[name] = &work.MovedError{Owner: work.Owner{Box: work.Box{Name: name + "b"}}, Cause: fault.Refuse(fault.NotOwner, "not mine")}
		name += "b"
	}
	if err := f.handle(turnCall("")); !fault.Is(err, fault.TurnNotKnownYet) {
		t.Errorf("error %v", err)
	}
	if got := len(f.calls); got > maxOwnerLookups*(1+maxNamedOwners+1) {
		t.Errorf("%d boxes were asked: %v", got, f.calls)
	}
}

// TestSearchAsksLoggedOwners guards against a search for a turn that can't rule slots out, since their owners are not among
// the candidates of this box's view.
func TestSearchAsksLoggedOwners(t *testing.T) {
	f := newFakeBox()
	f.logged = work.Owner{Box: work.Box{Name: "x"}}
	f.findReplies = map[string]findReply{"b": {slots: []int{0}}, "x": {text: []byte("text")}}
	f.turnResults = []error{fault.Refuse(fault.NoTurn, "not here"), nil}
	if err := f.handle(turnCall("other")); err != nil {
		t.Errorf("the turn failed: %v", err)
	}
	if diff := cmp.Diff([]string{"b", "x"}, f.searched); diff != "" {
		t.Errorf("boxes searched (-want +got):\n%s", diff)
	}
}

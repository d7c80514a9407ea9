package chain

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// beginStatelessTurn begins a turn whose answer is not stored and confirms its grant. It returns the
// number of records that the turn has to wait for.
func beginStatelessTurn(t *testing.T, s *State, o OpenTurn, budget int) int {
	t.Helper()
	recs, err := s.BeginStateless(start, o, budget)
	if err != nil {
		t.Fatal(err)
	}
	s.ConfirmGrant(o.Program, s.GrantedTokens(o.Program))
	return len(recs)
}

// TestGrantCoversSeveralTurns checks that a program waits for the log only when a turn exceeds its
// grant.
func TestGrantCoversSeveralTurns(t *testing.T) {
	s := New()
	var waits []int
	for n := range 8 {
		o := open(fmt.Sprint(n), "", 60)
		waits = append(waits, beginStatelessTurn(t, s, o, 1000))
		s.EndStateless(o, 45)
	}
	// The grant covers four turns of 60 tokens; the first five turns leave 15 of its 240 tokens.
	if diff := cmp.Diff([]int{1, 0, 0, 0, 0, 1, 0, 0}, waits); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	if got := s.SpentTokens("p"); got != 8*45 {
		t.Errorf("spent tokens: %d", got)
	}
}

// TestUnconfirmedGrantCoversNoTurn checks that no turn relies on a grant that the log may not hold.
func TestUnconfirmedGrantCoversNoTurn(t *testing.T) {
	s := New()
	for _, id := range []string{"a", "b"} {
		recs, err := s.BeginStateless(start, open(id, "", 60), 1000)
		if err != nil || len(recs) != 1 {
			t.Errorf("turn %s: %d records, %v", id, len(recs), err)
		}
	}
	s.ConfirmGrant("p", s.GrantedTokens("p"))
	if got := beginStatelessTurn(t, s, open("c", "", 60), 1000); got != 0 {
		t.Errorf("%d records once the grant is confirmed", got)
	}
}

// TestStatefulAndStatelessTurnsShareBudget checks that turns whose answers are stored and others share
// one budget, while they are in progress and afterwards.
func TestStatefulAndStatelessTurnsShareBudget(t *testing.T) {
	const budget = 200
	s := New()
	answerTurn(t, s, open("a", "", 60), "one")
	beginStatelessTurn(t, s, open("b", "", 60), budget)
	beginStatelessTurn(t, s, open("c", "", 60), budget)
	if _, err := s.BeginStateful(start, open("d", "a", 60), budget-3); err != nil {
		t.Errorf("a turn within the budget: %v", err)
	}
	for _, begin := range []func() ([]work.Record, error){
		func() ([]work.Record, error) { return s.BeginStateless(start, open("e", "", 60), budget) },
		func() ([]work.Record, error) { return s.BeginStateful(start, open("f", "a", 60), budget) },
	} {
		if _, err := begin(); !fault.Is(err, fault.BudgetSpent) || !fault.From(err).NotRun {
			t.Errorf("a turn beyond the budget: %v", err)
		}
	}
}

// TestNextOwnerCountsGrant checks that the next owner counts the whole grant after a crash, and after a
// planned handover only the delivered tokens and the maximum of the turns in progress.
func TestNextOwnerCountsGrant(t *testing.T) {
	s := New()
	a, b := open("a", "", 60), open("b", "", 60)
	recs, err := s.BeginStateless(start, a, 1000)
	if err != nil {
		t.Fatal(err)
	}
	s.ConfirmGrant("p", s.GrantedTokens("p"))
	s.EndStateless(a, 7)
	beginStatelessTurn(t, s, b, 1000)
	crashed := rebuild(t, recs)
	recs = append(recs, s.ReleaseUnused()...)
	released := rebuild(t, recs)
	recs = append(recs, s.EndStateless(b, 9)...)
	ended := rebuild(t, recs)
	got := []int{s.SpentTokens("p"), crashed.SpentTokens("p"), released.SpentTokens("p"), ended.SpentTokens("p")}
	if diff := cmp.Diff([]int{7, 4 * 60, 7 + 60, 7 + 9}, got); diff != "" {
		t.Errorf("tokens counted by the owner, after a crash, after a handover, after the last turn (-want +got):\n%s", diff)
	}
	// The next owner writes its own grant under the same key, on top of the one that it found.
	more, err := crashed.BeginStateless(start, open("c", "", 60), 1000)
	if err != nil || len(more) != 1 {
		t.Fatalf("%d records, %v", len(more), err)
	}
	if got := rebuild(t, append(recs, more...)).SpentTokens("p"); got < 4*60+60 {
		t.Errorf("the second next owner counts %d tokens", got)
	}
}

// TestGrantLivesAsLongAsProgram checks that the log keeps the grant of a long-running program until the
// program expires after its last turn.
func TestGrantLivesAsLongAsProgram(t *testing.T) {
	s := New()
	var recs []work.Record
	now := start
	for n := range 10 {
		o := open(fmt.Sprint(n), "", 1)
		more, err := s.BeginStateless(now, o, 1000)
		if err != nil {
			t.Fatal(err)
		}
		s.ConfirmGrant("p", s.GrantedTokens("p"))
		s.EndStateless(o, 1)
		recs = append(recs, more...)
		now = now.Add(40 * time.Second)
	}
	last := now.Add(-40 * time.Second)
	nextOwner := rebuild(t, recs)
	if got := nextOwner.Expire(last.Add(time.Minute), 10); len(got) != 0 {
		t.Error("the program is dropped within its retention")
	}
	drops := nextOwner.Expire(last.Add(time.Hour), 10)
	if len(drops) != 1 || rebuild(t, append(recs, drops...)).ProgramCount() != 0 {
		t.Errorf("%d records drop the program", len(drops))
	}
}

// TestReopenedStateCountsAsLogged checks that an owner that has released a slot in vain counts no less than the log does, and
// begins no turn on a grant that it has given up.
func TestReopenedStateCountsAsLogged(t *testing.T) {
	s := New()
	var recs []work.Record
	begin := func(id string) {
		more, err := s.BeginStateless(start, open(id, "", 60), 1000)
		if err != nil {
			t.Fatal(err)
		}
		recs = append(recs, more...)
		s.ConfirmGrant("p", s.GrantedTokens("p"))
	}
	for _, id := range []string{"a", "b", "c"} {
		begin(id)
	}
	recs = append(recs, s.EndStateless(open("a", "", 60), 7)...)
	recs = append(recs, s.ReleaseUnused()...)
	recs = append(recs, s.EndStateless(open("b", "", 60), 9)...)
	s.Reopen()
	recs = append(recs, s.EndStateless(open("c", "", 60), 11)...)
	if diff := cmp.Diff([]int{7 + 9 + 11, 7 + 9 + 11}, []int{s.SpentTokens("p"), rebuild(t, recs).SpentTokens("p")}); diff != "" {
		t.Errorf("tokens counted by the owner and by the next (-want +got):\n%s", diff)
	}
	if more, err := s.BeginStateless(start, open("d", "", 60), 1000); err != nil || len(more) == 0 {
		t.Errorf("a turn begins without a grant in the log: %v", err)
	}
	if s.programs["p"].running != 1 {
		t.Errorf("%d turns are in progress", s.programs["p"].running)
	}
}

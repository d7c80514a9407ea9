package chain

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// drawn begins a turn whose answer is not kept and confirms its grant. It returns the number of
// records that the turn has to wait for.
func drawn(t *testing.T, s *State, o Open, budget int) int {
	t.Helper()
	recs, err := s.Draw(start, o, budget)
	if err != nil {
		t.Fatal(err)
	}
	s.Confirm(o.Program, s.Granted(o.Program))
	return len(recs)
}

// TestGrantServesSeveralTurns checks that a short program waits for the log once, and a long one
// again when it has spent what was granted.
func TestGrantServesSeveralTurns(t *testing.T) {
	s := New()
	var waits []int
	for n := range 8 {
		o := open(fmt.Sprint(n), "", 60)
		waits = append(waits, drawn(t, s, o, 1000))
		s.Return(o, 45)
	}
	// Four turns' most are granted: 240 tokens, of which the fifth turn leaves 15.
	if diff := cmp.Diff([]int{1, 0, 0, 0, 0, 1, 0, 0}, waits); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	if got := s.Spent("p"); got != 8*45 {
		t.Errorf("counts %d", got)
	}
}

// TestGrantThatIsNotConfirmed checks that no turn begins on a grant that the log may not hold.
func TestGrantThatIsNotConfirmed(t *testing.T) {
	s := New()
	for _, id := range []string{"a", "b"} {
		recs, err := s.Draw(start, open(id, "", 60), 1000)
		if err != nil || len(recs) != 1 {
			t.Errorf("turn %s: %d records, %v", id, len(recs), err)
		}
	}
	s.Confirm("p", s.Granted("p"))
	if got := drawn(t, s, open("c", "", 60), 1000); got != 0 {
		t.Errorf("%d records once the grant is confirmed", got)
	}
}

// TestBudgetOfBothKinds checks that turns which are kept and turns which are not share one budget,
// while they are under way and after.
func TestBudgetOfBothKinds(t *testing.T) {
	const budget = 200
	s := New()
	answer(t, s, open("a", "", 60), "one")
	drawn(t, s, open("b", "", 60), budget)
	drawn(t, s, open("c", "", 60), budget)
	if _, err := s.Start(start, open("d", "a", 60), budget-3); err != nil {
		t.Errorf("a turn that the budget holds: %v", err)
	}
	for _, begin := range []func() ([]work.Record, error){
		func() ([]work.Record, error) { return s.Draw(start, open("e", "", 60), budget) },
		func() ([]work.Record, error) { return s.Start(start, open("f", "a", 60), budget) },
	} {
		if _, err := begin(); !fault.Is(err, fault.BudgetSpent) || !fault.From(err).NotRun {
			t.Errorf("a turn that the budget does not hold: %v", err)
		}
	}
}

// TestLostOwnersGrantCountsAsSpent checks what the next owner counts: all that was granted after a
// crash, and what was handed out after a planned hand-over.
func TestLostOwnersGrantCountsAsSpent(t *testing.T) {
	s := New()
	a, b := open("a", "", 60), open("b", "", 60)
	recs, err := s.Draw(start, a, 1000)
	if err != nil {
		t.Fatal(err)
	}
	s.Confirm("p", s.Granted("p"))
	s.Return(a, 7)
	drawn(t, s, b, 1000)
	crashed := newest(t, recs)
	recs = append(recs, s.Settle()...)
	settled := newest(t, recs)
	recs = append(recs, s.Return(b, 9)...)
	ended := newest(t, recs)
	got := []int{s.Spent("p"), crashed.Spent("p"), settled.Spent("p"), ended.Spent("p")}
	if diff := cmp.Diff([]int{7, 4 * 60, 7 + 60, 7 + 9}, got); diff != "" {
		t.Errorf("counted here, after a crash, after a hand-over, after the last turn (-want +got):\n%s", diff)
	}
	// The next owner's own grant stands beside what it found, under the same key.
	more, err := crashed.Draw(start, open("c", "", 60), 1000)
	if err != nil || len(more) != 1 {
		t.Fatalf("%d records, %v", len(more), err)
	}
	if got := newest(t, append(recs, more...)).Spent("p"); got < 4*60+60 {
		t.Errorf("the owner after the next counts %d", got)
	}
}

// TestGrantIsKeptAsLongAsItsProgram checks that a program which goes on for long is still known
// after its last turn, by the log too, and is forgotten then.
func TestGrantIsKeptAsLongAsItsProgram(t *testing.T) {
	s := New()
	var recs []work.Record
	now := start
	for n := range 10 {
		o := open(fmt.Sprint(n), "", 1)
		more, err := s.Draw(now, o, 1000)
		if err != nil {
			t.Fatal(err)
		}
		s.Confirm("p", s.Granted("p"))
		s.Return(o, 1)
		recs = append(recs, more...)
		now = now.Add(40 * time.Second)
	}
	last := now.Add(-40 * time.Second)
	after := newest(t, recs)
	if got := after.Expire(last.Add(time.Minute), 10); len(got) != 0 {
		t.Error("the program is forgotten within its retention")
	}
	drops := after.Expire(last.Add(time.Hour), 10)
	if len(drops) != 1 || newest(t, append(recs, drops...)).Programs() != 0 {
		t.Errorf("%d records drop the program", len(drops))
	}
}

package chain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

var start = time.UnixMilli(1_700_000_000_000)

func open(id, previous string, most int) Open {
	return Open{ID: id, Program: "p", Previous: previous, Most: most, Retention: time.Minute}
}

func text(turns []*Turn) string {
	var b strings.Builder
	for _, t := range turns {
		b.Write(t.Text)
	}
	return b.String()
}

func answer(t *testing.T, s *State, o Open, said string) []work.Record {
	t.Helper()
	begun, err := s.Start(start, o, -1)
	if err != nil {
		t.Fatal(err)
	}
	_, recs := s.Finish(start, o, 3, []byte(said))
	s.Free(o)
	return append(begun, recs...)
}

// logged is what the program p has spent and reserved by what its owner has written.
func logged(s *State) int {
	sum := s.program("p").spent
	for _, res := range s.program("p").open {
		sum += res.most
	}
	return sum
}

// TestReservationServesTheNextTurn checks that a program under way writes no start for its next
// turn, that side by side turns do, and that a turn without an end keeps its reservation.
func TestReservationServesTheNextTurn(t *testing.T) {
	s := New()
	starts := func(o Open) int {
		recs, err := s.Start(start, o, 400)
		if err != nil {
			t.Fatal(err)
		}
		return len(recs)
	}
	a, b, c, d := open("a", "", 60), open("b", "a", 60), open("c", "a", 60), open("d", "b", 60)
	got := []int{starts(a)}
	s.Finish(start, a, 10, nil)
	got = append(got, starts(c)) // the log may not hold the end of a yet
	s.Free(a)
	got = append(got, starts(b))
	s.Finish(start, b, 10, nil)
	s.Free(b)
	s.Break(c)
	got = append(got, starts(d), starts(open("e", "b", 60)))
	if diff := cmp.Diff([]int{1, 1, 0, 0, 1}, got); diff != "" {
		t.Errorf("start records (-want +got):\n%s", diff)
	}
	if got := s.program("p").bound(); got != 10+10+60+60+60 {
		t.Errorf("counts %d", got)
	}
	s.Cancel(d)
	if got := starts(open("f", "b", 50)); got != 0 {
		t.Errorf("the reservation of a turn that ran nowhere is not used again: %d records", got)
	}
}

// TestSettledReservationsAreNotCounted checks that a planned hand-over costs a program nothing.
func TestSettledReservationsAreNotCounted(t *testing.T) {
	s, after := New(), New()
	recs := answer(t, s, open("a", "", 60), "one")
	for _, rec := range append(recs, s.Settle()...) {
		if err := after.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	if got := after.program("p").bound(); got != 3 {
		t.Errorf("the next owner counts %d", got)
	}
}

// newest folds the records as the log keeps them: the newest of each key.
func newest(t *testing.T, recs []work.Record) *State {
	t.Helper()
	last := map[string]int{}
	for i, rec := range recs {
		last[rec.Key] = i
	}
	s := New()
	for i, rec := range recs {
		if last[rec.Key] != i || len(rec.Value) == 0 {
			continue
		}
		if err := s.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// TestCopyLeavesTheTurnItWasMadeFrom checks that a program of the same slot which goes on from
// another's turn takes nothing away from it once a new owner has read the log. It did, and a
// program was told that its history is not kept.
func TestCopyLeavesTheTurnItWasMadeFrom(t *testing.T) {
	s := New()
	recs := answer(t, s, open("a", "", 9), "one ")
	recs = append(recs, answer(t, s, open("b", "a", 9), "two ")...)
	text1, _ := s.Find("a")
	recs = append(recs, s.Import(start, "q", "a", text1, time.Minute))
	after := newest(t, recs)
	for _, c := range []struct{ program, id, want string }{{"p", "b", "one two "}, {"q", "a", "one "}} {
		turns, err := after.Line(c.program, c.id)
		if err != nil || text(turns) != c.want {
			t.Errorf("line of %s to %s: %q, %v", c.program, c.id, text(turns), err)
		}
	}
	if got, ok := after.Find("b"); !ok || string(got) != "one two " {
		t.Errorf("b is found as %q, %v", got, ok)
	}
	for _, drop := range s.Expire(start.Add(time.Hour), 100) {
		if err := after.Apply(drop); err != nil {
			t.Fatal(err)
		}
	}
	if after.Programs() != 0 {
		t.Errorf("%d programs are kept", after.Programs())
	}
}

// TestSeveralLinesGoOnFromOneTurn checks that sub-agents share what came before them.
func TestSeveralLinesGoOnFromOneTurn(t *testing.T) {
	s := New()
	answer(t, s, open("a", "", 9), "one ")
	answer(t, s, open("b", "a", 9), "two ")
	answer(t, s, open("c", "a", 9), "other ")
	for _, c := range []struct{ id, want string }{{"b", "one two "}, {"c", "one other "}, {"", ""}} {
		turns, err := s.Line("p", c.id)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, text(turns)); diff != "" {
			t.Errorf("line to %q (-want +got):\n%s", c.id, diff)
		}
	}
	if _, err := s.Line("p", "x"); !fault.Is(err, fault.NoTurn) {
		t.Errorf("unknown turn: %v", err)
	}
	if _, err := s.Line("q", "a"); !fault.Is(err, fault.NoTurn) {
		t.Errorf("turn of another program: %v", err)
	}
}

// TestBudgetHoldsForAllOpenTurns checks that turns side by side cannot overspend together.
func TestBudgetHoldsForAllOpenTurns(t *testing.T) {
	s := New()
	if _, err := s.Start(start, open("a", "", 60), 100); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Start(start, open("b", "", 60), 100); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("second turn: %v", err)
	}
	s.Finish(start, open("a", "", 60), 30, nil)
	if _, err := s.Start(start, open("c", "", 60), 100); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
	s.Break(open("c", "", 60))
	if _, err := s.Start(start, open("d", "", 60), 100); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("a broken turn must count at its most: %v", err)
	}
	s.Cancel(open("c", "", 60))
	if _, err := s.Start(start, open("e", "", 60), 100); err != nil {
		t.Errorf("a turn that ran nowhere must not count: %v", err)
	}
}

// TestRebuildCountsWhatAnOwnerLeftOpen checks that a new owner counts turns without an end.
func TestRebuildCountsWhatAnOwnerLeftOpen(t *testing.T) {
	s, after := New(), New()
	recs := answer(t, s, open("a", "", 60), "one")
	begun, err := s.Start(start, open("b", "a", 60), 200)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range append(recs, begun...) {
		if err := after.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := after.Start(start, open("c", "a", 60), 120); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("with the open turn counted at its most: %v", err)
	}
	if _, err := after.Start(start, open("c", "a", 60), 123); err != nil {
		t.Errorf("3 + 60 + 60 of 123: %v", err)
	}
}

func TestMalformedRecords(t *testing.T) {
	for _, rec := range []work.Record{
		{Key: ""}, {Key: "t"}, {Key: "ta", Value: []byte{0xff}}, {Key: "sa", Value: []byte{9, 'a'}}, {Key: "ta", Value: []byte{0, 0, 0, 0}},
	} {
		if err := New().Apply(rec); !fault.Is(err, fault.Protocol) {
			t.Errorf("%v: %v", rec, err)
		}
	}
}

// TestExpireDropsOnlyWhatIsOver checks that a program under way outlives its retention.
func TestExpireDropsOnlyWhatIsOver(t *testing.T) {
	s := New()
	answer(t, s, open("a", "", 9), "one")
	if drops := s.Expire(start.Add(time.Minute), 100); len(drops) != 0 {
		t.Errorf("dropped within its time: %v", drops)
	}
	late := start.Add(2 * time.Minute)
	if _, err := s.Start(late, open("b", "a", 9), -1); err != nil {
		t.Fatal(err)
	}
	if drops := s.Expire(late.Add(time.Hour), 100); len(drops) != 0 {
		t.Errorf("dropped while it runs: %v", drops)
	}
	s.Break(open("b", "a", 9))
	drops := s.Expire(late.Add(time.Hour), 100)
	if diff := cmp.Diff(2, len(drops)); diff != "" {
		t.Errorf("drops (-want +got):\n%s", diff)
	}
	if s.Programs() != 0 {
		t.Error("the program is still kept")
	}
}

// TestLogRebuildsState plays random turns and checks that a state folded from the records
// has the same lines and the same budget.
func TestLogRebuildsState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, copied := New(), New()
		apply := func(recs ...work.Record) {
			for _, rec := range recs {
				if err := copied.Apply(rec); err != nil {
					rt.Fatal(err)
				}
			}
		}
		done := []string{""}
		for n := range rapid.IntRange(1, 30).Draw(rt, "turns") {
			o := open(string(rune('A'+n)), rapid.SampledFrom(done).Draw(rt, "previous"), rapid.IntRange(1, 20).Draw(rt, "most"))
			begun, err := s.Start(start, o, 200)
			if err != nil {
				continue
			}
			apply(begun...)
			switch rapid.IntRange(0, 2).Draw(rt, "end") {
			case 0:
				_, recs := s.Finish(start, o, o.Most/2, []byte(o.ID+o.Previous))
				apply(recs...)
				done = append(done, o.ID)
				if rapid.Bool().Draw(rt, "confirmed") {
					s.Free(o)
				}
			case 1:
				apply(s.Cancel(o)...)
			default:
				s.Break(o)
			}
		}
		for _, id := range done {
			want, _ := s.Line("p", id)
			got, err := copied.Line("p", id)
			if err != nil || text(want) != text(got) {
				rt.Fatalf("line to %q: %q, want %q (%v)", id, text(got), text(want), err)
			}
		}
		if logged(s) != copied.program("p").bound() {
			rt.Fatalf("an owner that reads the log counts %d, and %d are logged", copied.program("p").bound(), logged(s))
		}
		if own := s.program("p").bound(); own > logged(s) {
			rt.Fatalf("the owner counts %d, more than the %d that are logged", own, logged(s))
		}
	})
}

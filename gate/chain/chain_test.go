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

func open(id, previous string, maxTokens int) OpenTurn {
	return OpenTurn{ID: id, Program: "p", Previous: previous, MaxTokens: maxTokens, Retention: time.Minute}
}

func joinText(turns []*Turn) string {
	var b strings.Builder
	for _, t := range turns {
		b.Write(t.Text)
	}
	return b.String()
}

func answerTurn(t *testing.T, s *State, o OpenTurn, answerText string) []work.Record {
	t.Helper()
	startRecs, err := s.BeginStateful(start, o, -1)
	if err != nil {
		t.Fatal(err)
	}
	_, recs := s.Finish(start, o, 3, []byte(answerText))
	s.FreeReservation(o)
	return append(startRecs, recs...)
}

// loggedTokens returns the tokens that program p has spent or reserved according to the log.
func loggedTokens(s *State) int {
	sum := s.ensureProgram("p").spent
	for _, res := range s.ensureProgram("p").reservations {
		sum += res.maxTokens
	}
	return sum
}

// TestNextTurnReusesReservation checks that a program's next turn reuses a free reservation without a
// log record, that concurrent turns write their own, and that a turn without a complete answer keeps
// its reservation.
func TestNextTurnReusesReservation(t *testing.T) {
	s := New()
	starts := func(o OpenTurn) int {
		recs, err := s.BeginStateful(start, o, 400)
		if err != nil {
			t.Fatal(err)
		}
		return len(recs)
	}
	a, b, c, d := open("a", "", 60), open("b", "a", 60), open("c", "a", 60), open("d", "b", 60)
	got := []int{starts(a)}
	s.Finish(start, a, 10, nil)
	got = append(got, starts(c)) // the log may not hold the end of turn a yet
	s.FreeReservation(a)
	got = append(got, starts(b))
	s.Finish(start, b, 10, nil)
	s.FreeReservation(b)
	s.Abort(c)
	got = append(got, starts(d), starts(open("e", "b", 60)))
	if diff := cmp.Diff([]int{1, 1, 0, 0, 1}, got); diff != "" {
		t.Errorf("start records (-want +got):\n%s", diff)
	}
	if got := s.ensureProgram("p").committedTokens(); got != 10+10+60+60+60 {
		t.Errorf("committed tokens: %d", got)
	}
	s.Cancel(d)
	if got := starts(open("f", "b", 50)); got != 0 {
		t.Errorf("the reservation of a turn that was not run is not reused: %d records", got)
	}
}

// TestReleaseUnusedDropsFreeReservations checks that ReleaseUnused drops free reservations, so that a planned
// handover costs a program none of its budget.
func TestReleaseUnusedDropsFreeReservations(t *testing.T) {
	s, nextOwner := New(), New()
	recs := answerTurn(t, s, open("a", "", 60), "one")
	for _, rec := range append(recs, s.ReleaseUnused()...) {
		if err := nextOwner.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	if got := nextOwner.ensureProgram("p").committedTokens(); got != 3 {
		t.Errorf("the next owner counts %d tokens", got)
	}
}

// rebuild applies the newest record of each key, which is what the log keeps.
func rebuild(t *testing.T, recs []work.Record) *State {
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

// TestCopyKeepsOriginalTurn checks that a new owner still has a turn that another program of the same
// slot has copied.
func TestCopyKeepsOriginalTurn(t *testing.T) {
	s := New()
	recs := answerTurn(t, s, open("a", "", 9), "one ")
	recs = append(recs, answerTurn(t, s, open("b", "a", 9), "two ")...)
	text, _ := s.ChainText("a")
	recs = append(recs, s.ImportCopy(start, OpenTurn{Program: "q", Previous: "a", Retention: time.Minute}, text)...)
	nextOwner := rebuild(t, recs)
	for _, c := range []struct{ program, id, want string }{{"p", "b", "one two "}, {"q", "a", "one "}} {
		turns, err := nextOwner.History(c.program, c.id)
		if err != nil || joinText(turns) != c.want {
			t.Errorf("history of %s up to %s: %q, %v", c.program, c.id, joinText(turns), err)
		}
	}
	if got, ok := nextOwner.ChainText("b"); !ok || string(got) != "one two " {
		t.Errorf("b is found as %q, %v", got, ok)
	}
	for _, drop := range s.Expire(start.Add(time.Hour), 100) {
		if err := nextOwner.Apply(drop); err != nil {
			t.Fatal(err)
		}
	}
	if nextOwner.ProgramCount() != 0 {
		t.Errorf("%d programs are kept", nextOwner.ProgramCount())
	}
}

// TestTurnsBranchFromOneTurn checks that several turns can continue the same turn and share its
// history.
func TestTurnsBranchFromOneTurn(t *testing.T) {
	s := New()
	answerTurn(t, s, open("a", "", 9), "one ")
	answerTurn(t, s, open("b", "a", 9), "two ")
	answerTurn(t, s, open("c", "a", 9), "other ")
	for _, c := range []struct{ id, want string }{{"b", "one two "}, {"c", "one other "}, {"", ""}} {
		turns, err := s.History("p", c.id)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, joinText(turns)); diff != "" {
			t.Errorf("history up to %q (-want +got):\n%s", c.id, diff)
		}
	}
	if _, err := s.History("p", "x"); !fault.Is(err, fault.NoTurn) {
		t.Errorf("unknown turn: %v", err)
	}
	if _, err := s.History("q", "a"); !fault.Is(err, fault.NoTurn) {
		t.Errorf("turn of another program: %v", err)
	}
}

// TestBudgetLimitsConcurrentTurns checks that concurrent turns can't exceed the budget together.
func TestBudgetLimitsConcurrentTurns(t *testing.T) {
	s := New()
	if _, err := s.BeginStateful(start, open("a", "", 60), 100); err != nil {
		t.Fatal(err)
	}
	if _, err := s.BeginStateful(start, open("b", "", 60), 100); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("second turn: %v", err)
	}
	s.Finish(start, open("a", "", 60), 30, nil)
	if _, err := s.BeginStateful(start, open("c", "", 60), 100); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
	s.Abort(open("c", "", 60))
	if _, err := s.BeginStateful(start, open("d", "", 60), 100); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("an aborted turn must count at its maximum: %v", err)
	}
	s.Cancel(open("c", "", 60))
	if _, err := s.BeginStateful(start, open("e", "", 60), 100); err != nil {
		t.Errorf("a turn that was not run must not count: %v", err)
	}
}

// TestRebuildCountsUnfinishedTurns checks that a new owner counts a turn without an end at its maximum.
func TestRebuildCountsUnfinishedTurns(t *testing.T) {
	s, nextOwner := New(), New()
	recs := answerTurn(t, s, open("a", "", 60), "one")
	startRecs, err := s.BeginStateful(start, open("b", "a", 60), 200)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range append(recs, startRecs...) {
		if err := nextOwner.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := nextOwner.BeginStateful(start, open("c", "a", 60), 120); !fault.Is(err, fault.BudgetSpent) {
		t.Errorf("with the unfinished turn counted at its maximum: %v", err)
	}
	if _, err := nextOwner.BeginStateful(start, open("c", "a", 60), 123); err != nil {
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

// TestExpireKeepsRunningPrograms checks that a program with a turn in progress outlives its retention.
func TestExpireKeepsRunningPrograms(t *testing.T) {
	s := New()
	answerTurn(t, s, open("a", "", 9), "one")
	if drops := s.Expire(start.Add(time.Minute), 100); len(drops) != 0 {
		t.Errorf("dropped within its retention: %v", drops)
	}
	late := start.Add(2 * time.Minute)
	if _, err := s.BeginStateful(late, open("b", "a", 9), -1); err != nil {
		t.Fatal(err)
	}
	if drops := s.Expire(late.Add(time.Hour), 100); len(drops) != 0 {
		t.Errorf("dropped while it runs: %v", drops)
	}
	s.Abort(open("b", "a", 9))
	drops := s.Expire(late.Add(time.Hour), 100)
	if diff := cmp.Diff(2, len(drops)); diff != "" {
		t.Errorf("drops (-want +got):\n%s", diff)
	}
	if s.ProgramCount() != 0 {
		t.Error("the program is still kept")
	}
}

// TestLogRebuildsState runs random turns and checks that a state rebuilt from their records has the
// same history and budget.
func TestLogRebuildsState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, rebuilt := New(), New()
		apply := func(recs ...work.Record) {
			for _, rec := range recs {
				if err := rebuilt.Apply(rec); err != nil {
					rt.Fatal(err)
				}
			}
		}
		done := []string{""}
		for n := range rapid.IntRange(1, 30).Draw(rt, "turns") {
			o := open(string(rune('A'+n)), rapid.SampledFrom(done).Draw(rt, "previous"), rapid.IntRange(1, 20).Draw(rt, "most"))
			startRecs, err := s.BeginStateful(start, o, 200)
			if err != nil {
				continue
			}
			apply(startRecs...)
			switch rapid.IntRange(0, 2).Draw(rt, "end") {
			case 0:
				_, recs := s.Finish(start, o, o.MaxTokens/2, []byte(o.ID+o.Previous))
				apply(recs...)
				done = append(done, o.ID)
				if rapid.Bool().Draw(rt, "confirmed") {
					s.FreeReservation(o)
				}
			case 1:
				apply(s.Cancel(o)...)
			default:
				s.Abort(o)
			}
		}
		for _, id := range done {
			want, _ := s.History("p", id)
			got, err := rebuilt.History("p", id)
			if err != nil || joinText(want) != joinText(got) {
				rt.Fatalf("history up to %q: %q, want %q (%v)", id, joinText(got), joinText(want), err)
			}
		}
		if loggedTokens(s) != rebuilt.ensureProgram("p").committedTokens() {
			rt.Fatalf("an owner that reads the log counts %d tokens, but %d are logged", rebuilt.ensureProgram("p").committedTokens(), loggedTokens(s))
		}
		if own := s.ensureProgram("p").committedTokens(); own > loggedTokens(s) {
			rt.Fatalf("the owner counts %d tokens, more than the %d that are logged", own, loggedTokens(s))
		}
	})
}

package chain

import (
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// TestStoppedProgramKeepsItsSpending guards against a program that gets its budget twice: it was refused since its budget is
// spent, later than clockSlack after its last turn, and came again within its retention from then on.
func TestStoppedProgramKeepsItsSpending(t *testing.T) {
	const budget = 100
	for _, c := range []struct {
		name  string
		spend func(t *testing.T, s *State, o OpenTurn) []work.Record
		begin func(s *State, now time.Time, o OpenTurn) ([]work.Record, error)
	}{
		{
			name: "stored answers",
			spend: func(t *testing.T, s *State, o OpenTurn) []work.Record {
				return answerTurn(t, s, o, "text")
			},
			begin: func(s *State, now time.Time, o OpenTurn) ([]work.Record, error) {
				return s.BeginStateful(now, o, budget)
			},
		},
		{
			name: "other answers",
			spend: func(t *testing.T, s *State, o OpenTurn) []work.Record {
				recs, err := s.BeginStateless(start, o, budget)
				if err != nil {
					t.Fatal(err)
				}
				return append(recs, s.EndStateless(o, o.MaxTokens)...)
			},
			begin: func(s *State, now time.Time, o OpenTurn) ([]work.Record, error) {
				return s.BeginStateless(now, o, budget)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			o := open("a", "", budget)
			recs := c.spend(t, s, o)
			now := start
			for _, after := range []time.Duration{50 * time.Second, 400 * time.Millisecond, 59 * time.Second, 59 * time.Second, 59 * time.Second} {
				now = now.Add(after)
				recs = append(recs, s.Expire(now, 100)...)
				next := rebuild(t, recs)
				recs = append(recs, next.Expire(now, 100)...)
				for what, state := range map[string]*State{"this owner": s, "the next owner": next} {
					if _, err := c.begin(state, now, open("b", "", budget)); !fault.Is(err, fault.BudgetSpent) {
						t.Errorf("%s, %v after the last turn: %v", what, now.Sub(start), err)
					}
				}
				recs = append(recs, s.Renew(now, open("b", "", budget))...)
			}
			if got := s.Expire(now.Add(2*time.Minute), 100); len(got) == 0 || s.ProgramCount() != 0 {
				t.Errorf("%d programs are never dropped", s.ProgramCount())
			}
		})
	}
}

// TestRetentionRunsFromTheEndOfTheAnswer guards against a turn that is dropped too early: its record was made while the caller
// still waited for the end of the answer.
func TestRetentionRunsFromTheEndOfTheAnswer(t *testing.T) {
	s := New()
	o := open("a", "", 10)
	o.Deadline = start.Add(30 * time.Second)
	recs := answerTurn(t, s, o, "text")
	late := o.Deadline.Add(o.Retention - time.Second)
	for what, state := range map[string]*State{"this owner": s, "the next owner": rebuild(t, recs)} {
		state.Expire(late, 100)
		if !state.HasTurn(o.Program, o.ID) {
			t.Errorf("%s dropped the turn %v after the latest end of its answer", what, late.Sub(o.Deadline))
		}
	}
}

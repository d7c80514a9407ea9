package turns

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// TestAnswerTokens checks that a turn is charged its maximum if the stride of its events is not known.
func TestAnswerTokens(t *testing.T) {
	got := map[int]int{}
	for _, stride := range []int{0, 1, 4} {
		tr := &turn{route: &work.Route{Stride: stride}, open: chain.OpenTurn{MaxTokens: 136}}
		got[stride] = tr.answerTokens(11)
	}
	if diff := cmp.Diff(map[int]int{0: 136, 1: 11, 4: 44}, got); diff != "" {
		t.Errorf("tokens by stride (-want +got):\n%s", diff)
	}
}

// TestStatusOutcome checks that only a replica's own failures count against it.
func TestStatusOutcome(t *testing.T) {
	for status, want := range map[int]target.Outcome{
		400: target.Answered, 404: target.Answered, 500: target.Failed, 502: target.Failed, 503: target.Failed, 504: target.Abandoned,
	} {
		if got := statusOutcome(status); got != want {
			t.Errorf("status %d: outcome %d, want %d", status, got, want)
		}
	}
}

// TestErrorOutcome checks that a caller that left does not count against a replica, unless the replica was
// silent.
func TestErrorOutcome(t *testing.T) {
	left, stop := context.WithCancel(context.Background())
	stop()
	cases := []struct {
		name   string
		ran    bool
		silent time.Duration
		ctx    context.Context
		err    error
		want   target.Outcome
	}{
		{"no connection", false, 0, context.Background(), fault.Refuse(fault.NoTarget, ""), target.Unreached},
		{"broke off", true, 0, context.Background(), fault.Fail(fault.TargetFailed, ""), target.Incomplete},
		{"caller does not take the answer", true, time.Minute, left, fault.Fail(fault.CallerGone, ""), target.Abandoned},
		{"caller left early", true, silenceThreshold / 2, left, fault.Fail(fault.TimedOut, ""), target.Abandoned},
		{"caller left a silent replica", true, 2 * silenceThreshold, left, fault.Fail(fault.TimedOut, ""), target.Unresponsive},
	}
	for _, c := range cases {
		tr := &turn{mayHaveRun: c.ran, lastReceived: time.Now().Add(-c.silent)}
		if got := tr.errorOutcome(c.ctx, c.err); got != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
}

// fullTargets admits no program and has no replica.
type fullTargets struct{}

func (fullTargets) Admit(target.CallRequest) sched.AdmissionDecision {
	return sched.AdmissionDecision{Refuse: true, RetryAfter: time.Second}
}

func (fullTargets) Take(target.CallRequest) (*target.Lease, error) {
	return nil, fault.Refuse(fault.NoTarget, "")
}

// noCounts discards metrics.
type noCounts struct{}

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}

// freeLedger accepts every turn.
type freeLedger struct{ ledger }

func (freeLedger) enter(*chain.State) error { return nil }

// TestAdmitContinuedTurn checks that the first turn of a program is subject to admission, unless it
// continues a turn of another program. Otherwise a running program fails with its sub-agents.
func TestAdmitContinuedTurn(t *testing.T) {
	got := map[string]bool{}
	for _, previous := range []string{"", "turn of another program"} {
		r := &Runner{targets: fullTargets{}, counts: noCounts{}, log: slog.New(slog.DiscardHandler)}
		tr := &turn{
			Runner: r, route: &work.Route{}, call: &work.Call{Prompt: &work.Prompt{}, Turn: &work.Turn{Program: "p", Previous: previous, Budget: -1}},
			open: chain.OpenTurn{ID: "t", Program: "p", Previous: previous}, ledger: freeLedger{},
		}
		got[previous] = fault.Is(tr.enter(chain.New()), fault.Overloaded)
	}
	if diff := cmp.Diff(map[string]bool{"": true, "turn of another program": false}, got); diff != "" {
		t.Errorf("refused by admission control, by the turn that is continued (-want +got):\n%s", diff)
	}
}

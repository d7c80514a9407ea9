package turns

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// TestTokensOfAnAnswer checks that a turn counts at its most where the size of its events is
// not known: an owner without a configuration once counted each event as one token.
func TestTokensOfAnAnswer(t *testing.T) {
	got := map[int]int{}
	for _, stride := range []int{0, 1, 4} {
		one := &turn{route: &work.Route{Stride: stride}, open: chain.Open{Most: 136}}
		got[stride] = one.spent(11)
	}
	if diff := cmp.Diff(map[int]int{0: 136, 1: 11, 4: 44}, got); diff != "" {
		t.Errorf("tokens by stride (-want +got):\n%s", diff)
	}
}

// TestVerdict checks that a replica is blamed for its own failures only.
func TestVerdict(t *testing.T) {
	for status, want := range map[int]target.Outcome{
		400: target.Answered, 404: target.Answered, 500: target.Failed, 502: target.Failed, 503: target.Failed, 504: target.Dropped,
	} {
		if got := verdict(status); got != want {
			t.Errorf("status %d: outcome %d, want %d", status, got, want)
		}
	}
}

// TestOutcome checks that a replica is not blamed for a caller that left, and is for its silence.
func TestOutcome(t *testing.T) {
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
		{"broke off", true, 0, context.Background(), fault.Fail(fault.TargetFailed, ""), target.Broken},
		{"caller does not take the answer", true, time.Minute, left, fault.Fail(fault.CallerGone, ""), target.Dropped},
		{"caller left early", true, silentAfter / 2, left, fault.Fail(fault.TimedOut, ""), target.Dropped},
		{"caller left a silent replica", true, 2 * silentAfter, left, fault.Fail(fault.TimedOut, ""), target.Silent},
	}
	for _, c := range cases {
		one := &turn{ran: c.ran, heard: time.Now().Add(-c.silent)}
		if got := one.outcome(c.ctx, c.err); got != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
}

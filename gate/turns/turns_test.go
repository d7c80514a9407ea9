package turns

import (
	"testing"

	"github.com/google/go-cmp/cmp"

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

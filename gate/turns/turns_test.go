package turns

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/chain"
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

package target

import (
	"fmt"
	"testing"

	"mulleingate.dev/gate/work"
)

// BenchmarkTake places model calls among 300 replicas.
func BenchmarkTake(b *testing.B) {
	t, _ := newTargets(300, true)
	asks := make([]CallRequest, 64)
	for i := range asks {
		asks[i] = CallRequest{WorkKind: "w", Services: splitToS, CachedTokens: map[string]int{fmt.Sprintf("r%d", i): 900}, Prompt: &work.Prompt{
			Tokens: 1500, Parts: []work.Part{{ID: fmt.Sprintf("shared%d", i%3), Tokens: 500}, {ID: fmt.Sprintf("own%d", i), Tokens: 1000}},
		}}
	}
	for i := 0; b.Loop(); i++ {
		lease, err := t.Take(asks[i%len(asks)])
		if err != nil {
			b.Fatal(err)
		}
		lease.Done(Answered, 0)
	}
}

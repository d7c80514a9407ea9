package target

import (
	"fmt"
	"testing"
	"time"

	"mulleingate.dev/gate/crash"
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

// BenchmarkTakeAssigned places model calls among 45 replicas of three zones with assigned prefixes. The time
// between two calls is that of a box that places 50 calls a second, so it includes the assignments.
func BenchmarkTakeAssigned(b *testing.B) {
	t, _ := newTargets(0, true)
	for i := range 45 {
		t.Put(replica(i, string(rune('a'+i%3))))
	}
	configureMemory(t, testMemory)
	now := time.Now()
	for i := 0; b.Loop(); i++ {
		now = now.Add(20 * time.Millisecond)
		t.mu.Lock()
		t.updatePrefixes(now, "s")
		ask := prefixAsk(i%16, "program")
		ask.Turn.Program = programNames[i%len(programNames)]
		best, candidates := t.choose(now, ask, "s")
		lease := t.lease(now, ask, best, candidates)
		lease.attempt = &crash.Attempt{}
		t.mu.Unlock()
		lease.Done(Answered, 0)
	}
}

var programNames = []string{"one", "two", "three", "four", "five"}

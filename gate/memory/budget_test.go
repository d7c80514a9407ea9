package memory

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestBudgetIsNotExceeded checks that holders that reserve at the same time never get more than the limit together, and
// that all of it is free again once they have released theirs.
func TestBudgetIsNotExceeded(t *testing.T) {
	const limit, size, holders = 100, 7, 50
	b := New(limit)
	var all sync.WaitGroup
	granted := make(chan bool, holders)
	for range holders {
		all.Go(func() { granted <- b.Reserve(size) })
	}
	all.Wait()
	close(granted)
	count := 0
	for ok := range granted {
		if ok {
			count++
		}
	}
	if int64(count*size) != b.Used() || b.Used() > limit || count == 0 {
		t.Errorf("%d holders have %d bytes of %d", count, b.Used(), limit)
	}
	for range count {
		b.Release(size)
	}
	if diff := cmp.Diff([]any{int64(0), true, false}, []any{b.Used(), b.Reserve(limit), b.Reserve(1)}); diff != "" {
		t.Errorf("used, room for all, room for more (-want +got):\n%s", diff)
	}
}

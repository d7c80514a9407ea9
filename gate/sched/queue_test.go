package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOrderOfWaitingCalls checks that calls go by priority, then by their workspaces' shares, then by
// rank, and that one which has waited too long goes before all.
func TestOrderOfWaitingCalls(t *testing.T) {
	now := begun
	calls := map[string]Waiting{
		"starved":  {Arrived: now.Add(-3 * time.Second)},
		"urgent":   {Arrived: now, Priority: 2, Served: 9},
		"modest":   {Arrived: now, Priority: 1, Served: 1},
		"greedy":   {Arrived: now, Priority: 1, Served: 5, Rank: 9},
		"first":    {Arrived: now, Rank: 2},
		"and last": {Arrived: now, Rank: 1},
	}
	names := []string{"and last", "first", "greedy", "modest", "urgent", "starved"}
	slices.SortStableFunc(names, func(a, b string) int {
		if Before(now, 2*time.Second, calls[a], calls[b]) {
			return -1
		}
		return 1
	})
	if diff := cmp.Diff([]string{"starved", "urgent", "modest", "greedy", "first", "and last"}, names); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// TestEarlyRefusals checks which calls are turned away before they wait, and when they are told to
// come again.
func TestEarlyRefusals(t *testing.T) {
	full := Queue{Before: 40, Places: 10, Service: 500 * time.Millisecond, Backlog: 100 * time.Millisecond}
	cases := []struct {
		name  string
		queue Queue
		left  time.Duration
		fresh bool
		want  Early
		after time.Duration
	}{
		{"room", Queue{Places: 10, Service: time.Second}, time.Second, true, Enter, 0},
		{"no engine is known", Queue{Before: 5, Backlog: time.Hour}, time.Second, true, Enter, 0},
		{"under way", full, 3 * time.Second, false, Enter, 0},
		{"not begun", full, 3 * time.Second, true, NotBegun, 1100 * time.Millisecond},
		{"no time", full, 2 * time.Second, false, TooLate, 2100 * time.Millisecond},
	}
	for _, c := range cases {
		got, after := c.queue.Decide(begun, begun.Add(c.left), c.fresh, time.Second)
		if got != c.want || after != c.after {
			t.Errorf("%s: decision %d, come again after %v", c.name, got, after)
		}
	}
}

package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBefore checks the order of calls: starved ones first, then by priority, workspace share and
// rank.
func TestBefore(t *testing.T) {
	now := testStart
	calls := map[string]WaitingCall{
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

// TestQueueDecide checks which calls are refused before they are queued, and their retry delays.
func TestQueueDecide(t *testing.T) {
	full := Queue{Ahead: 40, Slots: 10, ServiceTime: 500 * time.Millisecond, Backlog: 100 * time.Millisecond}
	cases := []struct {
		name  string
		queue Queue
		left  time.Duration
		fresh bool
		want  QueueDecision
		after time.Duration
	}{
		{"free slots", Queue{Slots: 10, ServiceTime: time.Second}, time.Second, true, Enqueue, 0},
		{"no known engine", Queue{Ahead: 5, Backlog: time.Hour}, time.Second, true, Enqueue, 0},
		{"running program", full, 3 * time.Second, false, Enqueue, 0},
		{"new program", full, 3 * time.Second, true, RejectNewProgram, 1100 * time.Millisecond},
		{"deadline too near", full, 2 * time.Second, false, RejectLate, 2100 * time.Millisecond},
	}
	for _, c := range cases {
		got, after := c.queue.Decide(testStart, testStart.Add(c.left), c.fresh, time.Second)
		if got != c.want || after != c.after {
			t.Errorf("%s: decision %d, retry after %v", c.name, got, after)
		}
	}
}

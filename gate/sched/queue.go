package sched

import "time"

// Waiting is a call in a box's queue.
type Waiting struct {
	Arrived time.Time
	// Priority is set by the policy; higher runs first.
	Priority int64
	// Served is the service that the call's workspace has received relative to its share; lower
	// runs first.
	Served int64
	// Rank orders calls of equal priority and service; higher runs first.
	Rank int64
}

// Before reports whether a runs before b. Calls that have waited longer than starve run before all
// others, oldest first, so that a queue full of urgent calls can't starve them.
func Before(now time.Time, starve time.Duration, a, b Waiting) bool {
	aStarved, bStarved := now.Sub(a.Arrived) > starve, now.Sub(b.Arrived) > starve
	switch {
	case aStarved != bStarved:
		return aStarved
	case aStarved:
		return a.Arrived.Before(b.Arrived)
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Served != b.Served:
		return a.Served < b.Served
	default:
		return a.Rank > b.Rank
	}
}

// minQueueRetry is the least retry delay of a call that is refused before it is queued.
const minQueueRetry = 100 * time.Millisecond

// Queue is the state of a queue as a call finds it on arrival.
type Queue struct {
	// Before is the number of calls ahead, Places the number of the engines' slots, and Service the
	// mean time that a call occupies one.
	Before, Places int
	Service        time.Duration
	// Backlog is the time for which the least busy engine has queued work of its own.
	Backlog time.Duration
}

// Wait returns the expected wait of the call, zero if no engine's slots are known.
func (q Queue) Wait() time.Duration {
	if q.Places == 0 {
		return 0
	}
	return time.Duration(q.Before)*q.Service/time.Duration(q.Places) + q.Backlog
}

// Early is the decision on a call that is to be queued.
type Early int

// The decisions.
const (
	// Enter queues the call.
	Enter Early = iota
	// NotBegun refuses a call of a program that has not started, since it would wait longer than
	// allowed.
	NotBegun
	// TooLate refuses a call that could not run before its deadline.
	TooLate
)

// Decide decides on a call, and returns the retry delay of one that is refused. A call of a program
// that has not started is refused if it would wait longer than maxWait.
func (q Queue) Decide(
	now, deadline time.Time, newProgram bool, maxWait time.Duration,
) (decision Early, after time.Duration) {
	wait := q.Wait()
	if newProgram && wait > maxWait {
		return NotBegun, max(wait-maxWait, minQueueRetry)
	}
	if now.Add(wait).After(deadline) {
		return TooLate, max(wait, minQueueRetry)
	}
	return Enter, 0
}

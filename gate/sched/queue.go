package sched

import "time"

// Waiting is a call that waits in a box's queue for an engine.
type Waiting struct {
	Arrived time.Time
	// Priority is the policy's, higher first.
	Priority int64
	// Served is what the call's workspace has been given against its share; lower goes first.
	Served int64
	// Rank is the call's place among those of equal priority and workspace, higher first.
	Rank int64
}

// Before reports whether a goes before b. Calls that have waited longer than starve go before all
// others, so that a full queue of urgent ones can't keep them out.
func Before(now time.Time, starve time.Duration, a, b Waiting) bool {
	as, bs := now.Sub(a.Arrived) > starve, now.Sub(b.Arrived) > starve
	switch {
	case as != bs:
		return as
	case as:
		return a.Arrived.Before(b.Arrived)
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Served != b.Served:
		return a.Served < b.Served
	default:
		return a.Rank > b.Rank
	}
}

// retryLeast bounds the advice of early refusals from below: sooner no place has come free.
const retryLeast = 100 * time.Millisecond

// Queue is what is known of a queue as to a call that would enter it.
type Queue struct {
	// Before is the number of calls that go before it, Places the engines' places, and Service the
	// mean time that a call holds one.
	Before, Places int
	Service        time.Duration
	// Backlog is the time for which the least busy engine has work queued of its own.
	Backlog time.Duration
}

// Wait is how long the call is expected to wait.
func (q Queue) Wait() time.Duration {
	if q.Places == 0 {
		return 0
	}
	return time.Duration(q.Before)*q.Service/time.Duration(q.Places) + q.Backlog
}

// Early is a decision on a call that asks to enter a queue.
type Early int

// The decisions.
const (
	// Enter lets it wait for a place.
	Enter Early = iota
	// NotBegun turns a program away that has not begun: it would wait longer than new ones may.
	NotBegun
	// TooLate turns a call away that could not be served before its deadline.
	TooLate
)

// Decide decides on a call, and tells one that is turned away when to come again. Fresh says that its
// program has not begun; those may wait for most at the longest.
func (q Queue) Decide(now, deadline time.Time, fresh bool, most time.Duration) (decision Early, after time.Duration) {
	wait := q.Wait()
	if fresh && wait > most {
		return NotBegun, max(wait-most, retryLeast)
	}
	if now.Add(wait).After(deadline) {
		return TooLate, max(wait, retryLeast)
	}
	return Enter, 0
}

package sched

import "time"

// WaitingCall is a call in a box's queue.
type WaitingCall struct {
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
func Before(now time.Time, starve time.Duration, a, b WaitingCall) bool {
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
	// Ahead is the number of calls ahead in the queue, Slots the number of slots of all engines, and
	// ServiceTime the mean time for which a call occupies a slot.
	Ahead, Slots int
	ServiceTime  time.Duration
	// Backlog is the time that the least busy engine needs for the work in its own queue.
	Backlog time.Duration
}

// Wait returns the expected wait of the call, zero if no engine's slots are known.
func (q Queue) Wait() time.Duration {
	if q.Slots == 0 {
		return 0
	}
	return time.Duration(q.Ahead)*q.ServiceTime/time.Duration(q.Slots) + q.Backlog
}

// QueueDecision is the decision whether to queue a call.
type QueueDecision int

// The decisions on a call.
const (
	// Enqueue queues the call.
	Enqueue QueueDecision = iota
	// RejectNewProgram refuses a call of a program that has not started, since it would wait longer
	// than allowed.
	RejectNewProgram
	// RejectLate refuses a call that could not run before its deadline.
	RejectLate
)

// Decide decides whether to queue a call, and returns the retry delay if the call is refused. A call of
// a program that has not started is refused if it would wait longer than maxWait. Any call is refused
// if it would wait past its deadline.
func (q Queue) Decide(
	now, deadline time.Time, newProgram bool, maxWait time.Duration,
) (decision QueueDecision, after time.Duration) {
	wait := q.Wait()
	if newProgram && wait > maxWait {
		return RejectNewProgram, max(wait-maxWait, minQueueRetry)
	}
	if now.Add(wait).After(deadline) {
		return RejectLate, max(wait, minQueueRetry)
	}
	return Enqueue, 0
}

package sched

import (
	"math/rand/v2"
	"time"
)

// refusal is what is known of a program that was refused and has not started.
type refusal struct {
	// at is the time of the first refusal, and timeLeft the time until the deadline then; timeLeft is
	// not positive if the deadline was past or unknown.
	at       time.Time
	timeLeft time.Duration
	priority int
	// seenAt is the time of the last refusal, and retryAfter the delay that it gave.
	seenAt     time.Time
	retryAfter time.Duration
	// due is the time that is reserved for the program, zero if none is.
	due time.Time
}

// waiting reports whether the program's caller is likely to retry again.
func (r refusal) waiting(now time.Time) bool {
	return now.Sub(r.seenAt) <= r.retryAfter+retryGrace
}

// before reports whether a late program is before another in the order of late programs: by priority, and
// by the time of the first refusal, where a step of priority counts as much as lateAging.
func (r refusal) before(other refusal) bool {
	return r.at.Add(time.Duration(r.priority) * lateAging).Before(other.at.Add(time.Duration(other.priority) * lateAging))
}

// priorities holds when each priority was last asked for.
type priorities map[int]time.Time

func (p priorities) seen(now time.Time, priority int) { p[priority] = now }

// leastUrgent returns the least urgent priority of the last priorityWindow, and at least the given one.
func (p priorities) leastUrgent(now time.Time, priority int) int {
	for other, at := range p {
		if now.Sub(at) <= priorityWindow {
			priority = max(priority, other)
		}
	}
	return priority
}

// onTime reports whether a time was reserved for the program and has come.
func (r refusal) onTime(now time.Time) bool {
	return !r.due.IsZero() && !now.Before(r.due)
}

// retrySchedule reserves times for the retries of refused programs, one step apart, so that callers which
// were refused together return at the rate at which room becomes available. It answers bursts that last
// for seconds, in which callers that retry at random would cause the next burst.
type retrySchedule struct {
	// last is the latest reserved time.
	last time.Time
	// advanced is, by priority, the number of programs that started on their reserved time beyond the
	// admitted share. As many new programs of the priority are refused instead.
	advanced map[int]int
}

const (
	// minRetryAfter is the minimum retry delay. In a shorter time hardly any turn ends.
	minRetryAfter = 150 * time.Millisecond
	// defaultRetryWithin is the longest retry delay of a caller of which it is not known: a third of a
	// call's usual time.
	defaultRetryWithin = 800 * time.Millisecond
	// retryGrace is how long after its retry delay a caller may still return: a caller that gives up a
	// call starts the turn again within 0.4 s.
	retryGrace = 600 * time.Millisecond
	// lateAging is the wait of a late program that outweighs a step of priority, so that urgent ones can't
	// keep others waiting for longer. It is about as long as a caller retries.
	lateAging = time.Second
	// priorityWindow is how long a priority counts as present after a program asked to start with it.
	priorityWindow = 2 * time.Second
	// maxAdvanced bounds how many programs of a priority may start beyond the admitted share.
	maxAdvanced = 2
)

// reserve reserves a time for a retry, at least minRetryAfter from now and step after the one before.
// It reports false if that time is more than within away, so that the caller would return before it.
func (s *retrySchedule) reserve(now time.Time, step, within time.Duration) (time.Time, bool) {
	due := now.Add(minRetryAfter)
	if next := s.last.Add(step); next.After(due) {
		due = next
	}
	if due.Sub(now) > within {
		return time.Time{}, false
	}
	s.last = due
	return due, true
}

// advance reports whether a program that returns on its reserved time may start although only the given
// share of its priority is admitted.
func (s *retrySchedule) advance(priority int, share float64) bool {
	if share <= 0 || s.advanced[priority] >= maxAdvanced {
		return false
	}
	s.advanced[priority]++
	return true
}

// repay reports whether a new program of the priority must give its place to one that has started on its
// reserved time.
func (s *retrySchedule) repay(priority int) bool {
	if s.advanced[priority] == 0 {
		return false
	}
	s.advanced[priority]--
	return true
}

// spread returns a random delay between minRetryAfter and within, so that callers for which no time can be
// reserved return spread evenly.
func spread(within time.Duration) time.Duration {
	return minRetryAfter + rand.N(max(within-minRetryAfter, time.Millisecond))
}

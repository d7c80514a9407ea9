package sched

import (
	"math"
	"time"
)

// Silence tracks whether anything comes back from a replica. It answers the load in which one replica takes calls and
// never answers them: it neither fails nor looks busy to a cost that trusts a cached prompt, so it would draw all calls
// of a prompt or of a content until the first of them time out. The zero value is that of a replica without calls.
type Silence struct {
	// unanswered counts the calls since the last response, including those that ended without one.
	unanswered int
	// since is when the first of them was sent or, if later, when the last response came.
	since time.Time
	// sentAt is when the latest of them was sent, and longestExpected how long the response to any call may take that was
	// sent since the replica had last answered all: quick answers say nothing about slow calls.
	sentAt          time.Time
	longestExpected time.Duration
	// expected is how long after since a response may come.
	expected time.Duration
}

const (
	// minSilentCalls is the number of calls without a response from which a replica is silent. A single one may
	// just take long.
	minSilentCalls = 2
	// minTrialInterval and maxTrialInterval bound the time between two calls to a silent replica, which doubles.
	minTrialInterval = time.Second
	maxTrialInterval = 30 * time.Second
)

// Sent records a call whose response is expected within the given time.
func (s *Silence) Sent(now time.Time, expected time.Duration) {
	if s.unanswered == 0 {
		s.since, s.expected, s.longestExpected = now, expected, 0
	}
	s.unanswered++
	s.sentAt, s.longestExpected = now, max(s.longestExpected, expected)
}

// Responded records a response. awaited is the number of calls that still wait for one.
func (s *Silence) Responded(now time.Time, awaited int) {
	s.unanswered, s.since, s.expected = awaited, now, s.longestExpected
}

// Withdrawn records that a call ended too early for its missing response to count.
func (s *Silence) Withdrawn() {
	s.unanswered = max(0, s.unanswered-1)
}

// Unanswered returns the number of calls since the last response.
func (s *Silence) Unanswered() int {
	return s.unanswered
}

// Overdue reports whether a response should have come by now.
func (s *Silence) Overdue(now time.Time) bool {
	return s.unanswered > 0 && now.Sub(s.since) >= s.expected
}

// Silent reports whether the replica should get no call now if there are others.
func (s *Silence) Silent(now time.Time) bool {
	return s.unanswered >= minSilentCalls && s.Overdue(now) && now.Sub(s.sentAt) < s.trialInterval()
}

// trialInterval returns the time from the latest call to the next one that tries whether the replica answers again.
func (s *Silence) trialInterval() time.Duration {
	return min(max(s.sentAt.Sub(s.since), s.expected, minTrialInterval), maxTrialInterval)
}

// ResponseTime predicts the time to the response to a kind of call from earlier ones, under whatever load these met.
// The zero value has no earlier calls.
type ResponseTime struct {
	// mean and deviation are running means, in nanoseconds; mean is zero before the first response.
	mean, deviation float64
}

const (
	// responseGain and deviationGain are the weights of a new response in the running means, and deviations the number
	// of mean deviations by which a response may be late, as for the retransmission timeout of TCP.
	responseGain  = 1.0 / 8
	deviationGain = 1.0 / 4
	deviations    = 4
	// minResponseTime is the shortest time in which a response is expected, also before the first one. It allows for a
	// network round trip and a short queue.
	minResponseTime = 250 * time.Millisecond
)

// Observe records the time to a response.
func (r *ResponseTime) Observe(took time.Duration) {
	seen := float64(took)
	if r.mean == 0 {
		r.mean, r.deviation = seen, seen/2
		return
	}
	r.deviation += deviationGain * (math.Abs(seen-r.mean) - r.deviation)
	r.mean += responseGain * (seen - r.mean)
}

// Expected returns the time within which nearly all responses come.
func (r *ResponseTime) Expected() time.Duration {
	return max(minResponseTime, time.Duration(r.mean+deviations*r.deviation))
}

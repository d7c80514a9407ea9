package target

import (
	"time"

	"mulleingate.dev/gate/sched"
)

// minDoubtedCalls is the least number of calls without a response from which a replica's cache does not count.
const minDoubtedCalls = 8

// responseTime returns the response time of the kind of work, which it creates if needed.
func (t *Targets) responseTime(kind string) *sched.ResponseTime {
	known, ok := t.responseTimes[kind]
	if !ok {
		known = &sched.ResponseTime{}
		t.responseTimes[kind] = known
	}
	return known
}

// expectedResponse returns how long the response to the call may take: the first event of a turn, or the answer of
// a plain service.
func (t *Targets) expectedResponse(ask CallRequest, service string, est sched.ReplicaState) time.Duration {
	expected := t.responseTime(ask.WorkKind).Expected()
	if ask.Prompt == nil {
		return expected
	}
	return expected + t.admissionFor(service).Estimates.ResponseDelay(ask.Prompt.Tokens, est)
}

// HoldResponse must be called before this box stops to read an answer whose head has arrived, for example until the log
// holds a record. That no event comes does not count against the replica until the returned function is called.
func (l *Lease) HoldResponse() (resume func()) {
	t, s := l.targets, l.state
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.responded || l.held {
		return func() {}
	}
	l.held, l.delayed = true, true
	s.awaited--
	s.silence.Responded(time.Now(), s.awaited)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if l.held {
			l.held = false
			s.awaited++
			s.silence.Sent(time.Now(), l.expected)
		}
	}
}

// recordResponse records the first sign that the replica processes the call.
func (l *Lease) recordResponse(now time.Time) {
	if l.responded {
		return
	}
	l.responded = true
	s := l.state
	if !l.held {
		s.awaited--
	}
	l.held = false
	if !l.delayed {
		l.targets.responseTime(l.ask.WorkKind).Observe(now.Sub(l.startedAt))
	}
	s.silence.Responded(now, s.awaited)
	if l.ask.Prompt != nil {
		s.confirmParts(l.ask.Prompt.Parts)
	}
}

// endResponse records whether the call got a response at all.
func (l *Lease) endResponse(now time.Time, out Outcome) {
	if l.responded {
		return
	}
	if out == Answered {
		l.recordResponse(now)
		return
	}
	s := l.state
	if l.held {
		l.held = false
		return
	}
	s.awaited--
	switch out {
	case Refused, Failed:
		s.silence.Responded(now, s.awaited)
	case Unreached, PoolFull:
		s.silence.Withdrawn()
	case Abandoned, GivenUp:
		if l.delayed || now.Sub(l.startedAt) < l.expected {
			s.silence.Withdrawn()
			return
		}
	case Answered, Incomplete, Unresponsive:
	}
	if l.ask.Prompt != nil {
		s.dropParts(l.ask.Prompt.Parts)
	}
}

// doubtsCache reports whether what the replica is believed to cache must not count: a response is overdue, or as many
// calls wait for one as the replica runs at once.
func (s *state) doubtsCache(now time.Time) bool {
	return s.silence.Overdue(now) || s.silence.Unanswered() >= max(s.Slots, minDoubtedCalls)
}

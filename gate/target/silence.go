package target

import (
	"time"

	"mulleingate.dev/gate/sched"
)

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

// recordResponse records the first sign that the replica processes the call.
func (l *Lease) recordResponse(now time.Time) {
	if l.responded {
		return
	}
	l.responded = true
	s := l.state
	s.awaited--
	s.silence.Responded(now, s.awaited)
	l.targets.responseTime(l.ask.WorkKind).Observe(now.Sub(l.startedAt))
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
	s.awaited--
	switch out {
	case Refused, Failed:
		s.silence.Responded(now, s.awaited)
	case Unreached, PoolFull:
		s.silence.Withdrawn()
	case Abandoned, GivenUp:
		if now.Before(l.responseDue) {
			s.silence.Withdrawn()
		}
	case Answered, Incomplete, Unresponsive:
	}
}

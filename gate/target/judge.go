package target

import (
	"math"
	"time"

	"mulleingate.dev/gate/limit"
)

const (
	// failureRateGain is the weight of a new outcome in the failure rate. plainFailureWeight is the
	// failure value of an error answer of a plain service. It is below 1, since such a call may fail
	// through no fault of the replica.
	failureRateGain    = 0.2
	plainFailureWeight = 0.3
	// peerReportWeight scales a failure rate that another box reports.
	peerReportWeight = 0.8
	// announceThreshold is the failure rate from which the other boxes are told; two failed turns in a
	// row reach it. announceInterval is the minimum time between two announcements about a replica.
	announceThreshold = 0.3
	announceInterval  = 500 * time.Millisecond
	// failureRateHalfLife is the time in which a failure rate halves without new outcomes.
	failureRateHalfLife = 4 * time.Second
)

// recordOutcome updates the failure rate with an outcome. failure is 0 for a success, and up to 1 for a
// failure.
func (s *state) recordOutcome(now time.Time, failure float64) {
	rate := s.failureRate(now)
	s.lastFailureRate = rate + failureRateGain*(failure-rate)
	s.failureRateAt = now
}

// failureRate returns the failure rate, decayed to now.
func (s *state) failureRate(now time.Time) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	return s.lastFailureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureRateHalfLife.Seconds())
}

// hasQueue reports whether calls wait at the replica according to a recent load report. If so, a missing
// answer may only mean that the call is queued.
func (s *state) hasQueue(now time.Time) bool {
	return now.Sub(s.loadAt) <= loadMaxAge && s.load.Waiting > 0
}

// unitTime returns the usual time of a unit of the kind of work.
func (t *Targets) unitTime(kind string) time.Duration {
	if usual, ok := t.meanUnitTime[kind]; ok {
		return usual
	}
	return initialUnitTime
}

// applyOutcome updates the replica's failure rate and ejection by the outcome of a call.
func (t *Targets) applyOutcome(s *state, out Outcome) {
	now := time.Now()
	switch out {
	case Answered:
		s.recordOutcome(now, 0)
		t.ejectorFor(s.Service).Success(s.ID)
	case Failed:
		s.recordOutcome(now, t.failureWeight(s))
		t.ejectorFor(s.Service).Success(s.ID)
		t.announceFailing(now, s)
	case Unreached:
		s.suspectUntil = now.Add(suspectFor)
		t.log.Warn("target: call did not reach replica", "replica", s.ID, "service", s.Service)
	case PoolFull:
		t.log.Info("target: no connection to replica free", "replica", s.ID, "service", s.Service)
	case Unresponsive:
		if !s.hasQueue(now) {
			s.recordOutcome(now, 1)
		}
	case Incomplete:
		s.recordOutcome(now, 1)
		if t.ejectorFor(s.Service).Failure(now, s.ID, len(t.services[s.Service])) {
			t.log.Warn("target: replica ejected after repeated failures", "replica", s.ID, "service", s.Service)
		}
	case Refused, Abandoned, GivenUp:
	}
}

// failureWeight returns the failure value of an error answer of the replica, 0 to 1.
func (t *Targets) failureWeight(s *state) float64 {
	if t.isModel(s) {
		return 1
	}
	return plainFailureWeight
}

// isModel reports whether the replica serves a model.
func (t *Targets) isModel(s *state) bool {
	return t.serviceConfig(s.Service).Engine != nil
}

// announceFailing tells the other boxes about a replica that fails calls, so that they need not lose
// calls to find out.
func (t *Targets) announceFailing(now time.Time, s *state) {
	rate := s.failureRate(now)
	if rate < announceThreshold || now.Sub(s.announcedAt) < announceInterval {
		return
	}
	s.announcedAt = now
	t.log.Info("target: replica fails calls", "replica", s.ID, "service", s.Service, "share", rate)
	t.onFailing(s.Replica, rate)
}

// ejectorFor returns the ejector of the service, which it creates if needed.
func (t *Targets) ejectorFor(service string) *limit.Ejector {
	e, ok := t.ejectors[service]
	if !ok {
		e = limit.NewEjector()
		t.ejectors[service] = e
	}
	return e
}

package target

import (
	"math"
	"time"

	"mulleingate.dev/gate/limit"
)

const (
	// blameShare is the weight of a new outcome in the share of failures, and blameFailed
	// what a failure that a plain service answers counts: such calls may fail for reasons of
	// theirs, turns may not.
	blameShare  = 0.2
	blameFailed = 0.3
	// toldShare is what another box's word counts against this box's own experience.
	toldShare = 0.8
	// tellShare is the share of failures from which the other boxes are told, two in a row, and
	// tellEvery the least time between two words on one replica.
	tellShare = 0.3
	tellEvery = 500 * time.Millisecond
	// failsFade is the time in which a share of failures halves by itself.
	failsFade = 4 * time.Second
)

// blame folds an outcome into the share of failures.
func (s *state) blame(now time.Time, wrong float64) {
	share := s.failing(now)
	s.fails = share + blameShare*(wrong-share)
	s.failedAt = now
}

// failing is the share of failures as of now.
func (s *state) failing(now time.Time) float64 {
	if s.fails == 0 {
		return 0
	}
	return s.fails * math.Exp2(-now.Sub(s.failedAt).Seconds()/failsFade.Seconds())
}

// queues reports that calls wait at the replica by its own report, so that its silence is
// for want of a place.
func (s *state) queues(now time.Time) bool {
	return now.Sub(s.loadAt) <= loadFor && s.load.Waiting > 0
}

// usually is the time of a unit of a kind of work.
func (t *Targets) usually(kind string) time.Duration {
	if usual, ok := t.usual[kind]; ok {
		return usual
	}
	return firstUsual
}

func (t *Targets) judge(s *state, out Outcome) {
	now := time.Now()
	switch out {
	case Answered:
		s.blame(now, 0)
		t.eject(s.Service).Good(s.ID)
	case Failed:
		s.blame(now, t.fault(s))
		t.eject(s.Service).Good(s.ID)
		t.tell(now, s)
	case Unreached:
		s.suspect = now.Add(suspectFor)
		t.log.Warn("target: replica not reached", "replica", s.ID, "service", s.Service)
	case Silent:
		if !s.queues(now) {
			s.blame(now, 1)
		}
	case Broken:
		s.blame(now, 1)
		if t.eject(s.Service).Bad(now, s.ID, len(t.services[s.Service])) {
			t.log.Warn("target: replica left for a while after failures", "replica", s.ID, "service", s.Service)
		}
	case Refused, Dropped:
	}
}

// fault is what a failure that the replica answers counts, 0 to 1.
func (t *Targets) fault(s *state) float64 {
	if t.model(s) {
		return 1
	}
	return blameFailed
}

// model reports whether the replica runs turns.
func (t *Targets) model(s *state) bool {
	return t.service(s.Service).Engine != nil
}

// tell has the other boxes know of a replica that fails its calls, so that not each of them
// has to lose some first.
func (t *Targets) tell(now time.Time, s *state) {
	share := s.failing(now)
	if share < tellShare || now.Sub(s.toldAt) < tellEvery {
		return
	}
	s.toldAt = now
	t.log.Info("target: replica fails calls", "replica", s.ID, "service", s.Service, "share", share)
	t.failing(s.Replica, share)
}

func (t *Targets) eject(service string) *limit.Ejector {
	e, ok := t.ejector[service]
	if !ok {
		e = limit.NewEjector()
		t.ejector[service] = e
	}
	return e
}

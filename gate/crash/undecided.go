package crash

import (
	"slices"
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// undecidedTTL is how long an attempt whose replica may have crashed waits for the list of replicas to tell. An entry
	// disappears a few seconds after its replica.
	undecidedTTL = 8 * time.Second
	// maxUndecided bounds the replicas with such attempts, and maxWaiting the attempts at each; the latest are kept.
	maxUndecided = 1024
	maxWaiting   = 128
	// lingerTime is how long a replica may still accept connections after it broke an answer off because it ends.
	lingerTime = 5 * time.Second
	// recheckDelay is when a replica that still accepted connections is checked again.
	recheckDelay = lingerTime + 200*time.Millisecond
	// suspectTTL is how long a replica is suspected to have crashed. Until then it has been checked again, and its entry
	// has gone if it has.
	suspectTTL = 6 * time.Second
)

// undecided is an attempt of which it is not known whether its replica crashed.
type undecided struct {
	req work.Fingerprint
	// at is when the attempt ended.
	at time.Time
	// trial is end.id.
	trial uint64
	// broken is set if the replica broke the answer off and has not answered since.
	broken bool
	// accepted is set if the replica's address accepted a connection after that, or answered.
	accepted bool
}

// mayLinger reports whether the replica may end although it accepted a connection after the attempt.
func (u undecided) mayLinger(now time.Time) bool {
	return u.broken && now.Sub(u.at) <= suspectTTL
}

// undecidedAt holds the undecided attempts at one replica, the oldest first; at least one.
type undecidedAt struct {
	replica work.Replica
	waiting []undecided
}

// requests returns the requests of the attempts.
func requests(attempts []undecided) []work.Fingerprint {
	reqs := make([]work.Fingerprint, 0, len(attempts))
	for _, ended := range attempts {
		reqs = append(reqs, ended.req)
	}
	return reqs
}

// await keeps an attempt until the list of replicas tells whether its replica crashed, or for undecidedTTL.
func (t *Tracker) await(now time.Time, rep work.Replica, ended undecided) {
	run := rep.RunID()
	if t.knownCrash(run) {
		t.recordCrash(now, rep, false, shownBefore, []undecided{ended})
		return
	}
	if len(t.undecided) >= maxUndecided {
		t.pruneUndecided(now)
	}
	if _, ok := t.undecided[run]; !ok && len(t.undecided) >= maxUndecided {
		return
	}
	waiting := unexpired(now, t.undecided[run].waiting)
	if len(waiting) >= maxWaiting {
		waiting = waiting[1:]
	}
	t.undecided[run] = undecidedAt{replica: rep, waiting: append(waiting, ended)}
}

// unexpired returns the attempts that have not waited for undecidedTTL.
func unexpired(now time.Time, waiting []undecided) []undecided {
	for len(waiting) > 0 && now.Sub(waiting[0].at) > undecidedTTL {
		waiting = waiting[1:]
	}
	return waiting
}

// dropUndecidedBefore drops the attempts at the replica that ended before the given time, since it has answered another
// one that began then. A replica that is about to end may do that too.
func (t *Tracker) dropUndecidedBefore(now time.Time, run string, at time.Time) {
	group, ok := t.undecided[run]
	if !ok {
		return
	}
	group.waiting = slices.DeleteFunc(group.waiting, func(ended undecided) bool {
		return ended.at.Before(at) && (!ended.accepted || !ended.mayLinger(now))
	})
	if len(group.waiting) == 0 {
		delete(t.undecided, run)
		return
	}
	t.undecided[run] = group
}

// pruneUndecided drops the attempts that have waited for undecidedTTL.
func (t *Tracker) pruneUndecided(now time.Time) {
	for run, group := range t.undecided {
		if len(unexpired(now, group.waiting)) == 0 {
			delete(t.undecided, run)
		}
	}
}

// takeUndecided returns the attempts at the replica that wait, and forgets them.
func (t *Tracker) takeUndecided(now time.Time, run string) []undecided {
	waiting := t.undecided[run].waiting
	delete(t.undecided, run)
	return unexpired(now, waiting)
}

// mayHaveCrashed returns the attempts under which the replica may have crashed, if it is gone now: those after which its
// address has not accepted a connection, or may have done so before the replica ended.
func mayHaveCrashed(now time.Time, waiting []undecided) []undecided {
	return slices.DeleteFunc(waiting, func(ended undecided) bool { return ended.accepted && !ended.mayLinger(now) })
}

// ReplicaListed records that the replica is listed.
func (t *Tracker) ReplicaListed(rep work.Replica) {
	t.mu.Lock()
	defer t.unlock()
	now := time.Now()
	if t.crashed[rep.RunID()].silent {
		t.retract(rep.RunID())
	}
	for run, group := range t.undecided {
		if group.replica.Addr == rep.Addr && run != rep.RunID() {
			t.recordCrash(now, group.replica, false, shownByAddress, mayHaveCrashed(now, t.takeUndecided(now, run)))
		}
	}
}

// ReplicaRestarted records that the replica has started again at the given time without having announced a stop.
func (t *Tracker) ReplicaRestarted(rep work.Replica, startedAt time.Time) {
	t.mu.Lock()
	defer t.unlock()
	now := time.Now()
	var under []undecided
	for _, ended := range t.takeUndecided(now, rep.RunID()) {
		if !ended.accepted || startedAt.Sub(ended.at) < lingerTime {
			under = append(under, ended)
		}
	}
	t.markCrashed(now, rep.RunID(), false) // for answers whose replica is being checked
	t.recordCrash(now, rep, false, shownByRestart, under)
}

// ReplicaUnlisted records that the replica is no longer listed, without having announced a stop. It has crashed, or
// stops as planned and still accepts connections.
func (t *Tracker) ReplicaUnlisted(rep work.Replica) {
	t.mu.Lock()
	defer t.unlock()
	now := time.Now()
	if last := t.checks[rep.RunID()]; last != nil && last.ended.IsZero() {
		last.when = onRemoval
	}
	if waiting := mayHaveCrashed(now, t.takeUndecided(now, rep.RunID())); len(waiting) > 0 {
		t.startCheck(now, rep, onRemoval, waiting, 0)
		return
	}
	t.checkUnlisted(now, rep)
}

// recheckLater checks the replica, which did not refuse a connection after it broke an answer off, once it would have ended.
func (t *Tracker) recheckLater(rep work.Replica) {
	run := rep.RunID()
	if t.rechecks[run] != nil || t.stopped {
		return
	}
	t.rechecks[run] = time.AfterFunc(recheckDelay, func() {
		result := Alive
		if t.isListed(rep) {
			result = t.probe(rep)
		}
		t.send(t.endRecheck(rep, result))
	})
}

// isListed reports whether the replica is listed and accepts work. The end of one that is not may be planned.
func (t *Tracker) isListed(rep work.Replica) bool {
	if t.replicas == nil {
		return true
	}
	return slices.ContainsFunc(t.replicas.Listed(rep.Service), func(listed work.Replica) bool { return listed.RunID() == rep.RunID() })
}

// endRecheck decides the attempts that broke off long enough ago for their replica to have ended, and returns the reports
// of what it showed. Later attempts wait for another check.
func (t *Tracker) endRecheck(rep work.Replica, result Contact) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, run := time.Now(), rep.RunID()
	delete(t.rechecks, run)
	t.counts.Count(checkMetric, 1)
	var due, later []undecided
	for _, ended := range t.takeUndecided(now, run) {
		switch {
		case !ended.broken || result == Silent:
			later = append(later, ended)
		case result != Accepted || now.Sub(ended.at) >= lingerTime:
			due = append(due, ended)
		default:
			later = append(later, ended)
		}
	}
	switch result {
	case Refused:
		t.recordCrash(now, rep, false, shownByRefusal, due)
	case Replaced:
		t.recordCrash(now, rep, false, shownByAnswer, due)
	case Alive, Accepted, Silent:
	}
	if len(later) > 0 {
		t.undecided[run] = undecidedAt{replica: rep, waiting: later}
	}
	if result == Accepted && slices.ContainsFunc(later, func(ended undecided) bool { return ended.broken }) {
		t.recheckLater(rep)
	}
	reports := t.unsent
	t.unsent = nil
	return reports
}

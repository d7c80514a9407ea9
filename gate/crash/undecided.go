package crash

import (
	"net/netip"
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
	// restartWindow is how long after a broken answer a replica that still accepted connections may have started for the
	// answer to count as broken by a crash. It allows for differences between clocks.
	restartWindow = time.Second
)

// undecided is an attempt of which it is not known whether its replica crashed.
type undecided struct {
	req work.Fingerprint
	// at is when the attempt ended.
	at time.Time
	// accepted is set if the replica's address accepted a connection after that.
	accepted bool
}

// undecidedAt holds the undecided attempts at one replica, the oldest first; at least one.
type undecidedAt struct {
	addr    netip.AddrPort
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
		t.recordCrash(now, run, false, shownBefore, []undecided{ended})
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
	t.undecided[run] = undecidedAt{addr: rep.Addr, waiting: append(waiting, ended)}
}

// unexpired returns the attempts that have not waited for undecidedTTL.
func unexpired(now time.Time, waiting []undecided) []undecided {
	for len(waiting) > 0 && now.Sub(waiting[0].at) > undecidedTTL {
		waiting = waiting[1:]
	}
	return waiting
}

// dropUndecidedBefore drops the attempts at the replica that ended before the given time.
func (t *Tracker) dropUndecidedBefore(run string, at time.Time) {
	group, ok := t.undecided[run]
	if !ok {
		return
	}
	for len(group.waiting) > 0 && group.waiting[0].at.Before(at) {
		group.waiting = group.waiting[1:]
	}
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

// notAccepted returns the attempts after which the replica's address has not accepted a connection. Where it has, the
// replica has not crashed under the attempt, unless it restarted at once.
func notAccepted(waiting []undecided) []undecided {
	return slices.DeleteFunc(waiting, func(ended undecided) bool { return ended.accepted })
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
		if group.addr == rep.Addr && run != rep.RunID() {
			t.recordCrash(now, run, false, shownByAddress, notAccepted(t.takeUndecided(now, run)))
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
		if !ended.accepted || startedAt.Sub(ended.at) < restartWindow {
			under = append(under, ended)
		}
	}
	t.markCrashed(now, rep.RunID(), false) // for answers whose replica is being checked
	t.recordCrash(now, rep.RunID(), false, shownByRestart, under)
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
	if waiting := notAccepted(t.takeUndecided(now, rep.RunID())); len(waiting) > 0 {
		t.startCheck(now, rep, onRemoval, waiting, 0)
	}
}

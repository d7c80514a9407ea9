package crash

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// crashedTTL is how long a replica is remembered as crashed, and maxCrashed bounds their number.
	crashedTTL = time.Minute
	maxCrashed = 4096
)

// crashedReplica is a replica that has crashed, or that turned out not to have.
type crashedReplica struct {
	// at is when that was found.
	at time.Time
	// silent is end.silent.
	silent bool
	// alive is set if the replica has not crashed after all. Reports of crashes before at are wrong.
	alive bool
}

// What shows that a replica has crashed.
const (
	shownByRefusal = "connection refused"
	shownBySilence = "no response and no entry"
	shownByRestart = "restarted"
	shownByAddress = "address reused"
	shownByAnswer  = "another process answers"
	shownBefore    = "known before"
)

// recordCrash records the crash of a replica under the attempts, and reports it to the other boxes.
func (t *Tracker) recordCrash(now time.Time, rep work.Replica, silent bool, shownBy string, attempts []undecided) {
	if len(attempts) == 0 {
		return
	}
	run := rep.RunID()
	t.reviewBlocks(now, run, requests(attempts))
	t.markCrashed(now, run, silent)
	added := t.recordEnds(now, end{replica: run, at: now, crashed: true, silent: silent}, attempts)
	if len(added) == 0 {
		return
	}
	t.counts.Count(FoundMetric, 1)
	t.log.Warn("crash: replica crashed under requests", "replica", run, "shown_by", shownBy, "requests", len(added), "first", added[0])
	t.startBlockCheck(now, rep.Service, added)
}

// recordSuspect records that the replica may have crashed under the attempts, and reports it to the other boxes.
func (t *Tracker) recordSuspect(now time.Time, rep work.Replica, state string, attempts []undecided) {
	added := t.recordEnds(now, end{replica: rep.RunID(), at: now}, attempts)
	if len(added) == 0 {
		return
	}
	t.log.Info("crash: replica may have crashed under requests", "replica", rep.RunID(), "state", state, "requests", len(added), "first", added[0])
}

// recordEnds records the end of the attempts like the template, and returns the requests for which it was not known. The
// other boxes are told of these. Each trial has a report of its own.
func (t *Tracker) recordEnds(now time.Time, template end, attempts []undecided) []work.Fingerprint {
	var added []work.Fingerprint
	var together []work.Fingerprint
	for _, ended := range attempts {
		failed := template
		failed.id = ended.trial
		if !t.history.add(now, ended.req, failed) {
			continue
		}
		added = append(added, ended.req)
		if failed.isTrial() {
			t.unsent = append(t.unsent, failed.report(now, ended.req))
		} else {
			together = append(together, ended.req)
		}
	}
	if len(together) > 0 {
		t.unsent = append(t.unsent, template.report(now, together...))
	}
	t.counts.Gauge(recordsMetric, int64(len(t.history.records)))
	return added
}

// markCrashed remembers that the replica has crashed.
func (t *Tracker) markCrashed(now time.Time, run string, silent bool) {
	known, ok := t.crashed[run]
	if ok && !known.alive && (!known.silent || silent) {
		return
	}
	if !ok && len(t.crashed) >= maxCrashed {
		t.forgetCrashed(now)
	}
	t.crashed[run] = crashedReplica{at: now, silent: silent}
}

// knownCrash reports whether the replica is known to have crashed, so that its broken answers need no check.
func (t *Tracker) knownCrash(run string) bool {
	known, ok := t.crashed[run]
	return ok && !known.alive && !known.silent
}

// forgetCrashed forgets replicas that crashed long ago; all, if there are still too many.
func (t *Tracker) forgetCrashed(now time.Time) {
	for run, crash := range t.crashed {
		if now.Sub(crash.at) > crashedTTL {
			delete(t.crashed, run)
		}
	}
	if len(t.crashed) >= maxCrashed {
		clear(t.crashed)
	}
}

// clear makes the failures so far not count under the request, since it was answered. The other boxes are told if they may
// refuse or defer it.
func (t *Tracker) clear(now time.Time, req work.Fingerprint) {
	t.answers.add(now, req)
	if rec := t.history.get(now, req); rec != nil && rec.failures >= maxCrashes-1 {
		t.unsent = append(t.unsent, Report{Answered: true, Requests: []work.Fingerprint{req}})
	}
	t.history.clear(req)
}

// noteAlive records that the replica has answered an attempt: it has not crashed before that began, unless it was
// about to end.
func (t *Tracker) noteAlive(a *Attempt) {
	run := a.replica.RunID()
	t.dropUndecidedBefore(time.Now(), run, a.begunAt)
	if known, ok := t.crashed[run]; ok && !known.alive && a.begunAt.After(known.at) {
		t.retract(run)
	}
}

// retract makes the crash of a replica that turned out to be alive not count.
func (t *Tracker) retract(run string) {
	t.crashed[run] = crashedReplica{at: time.Now(), alive: true}
	t.history.retract(run)
	t.log.Info("crash: replica has not crashed after all", "replica", run)
}

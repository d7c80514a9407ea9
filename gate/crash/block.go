package crash

import (
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// maxProbes bounds the replicas that are checked before a request is refused.
	maxProbes = 32
	// reviewWindow is how long after a request was refused the crash of another replica shows that the request was not
	// the cause.
	reviewWindow = 10 * time.Second
)

// Replicas lists replicas.
type Replicas interface {
	// Listed returns the replicas of the service that are listed and accept work.
	Listed(service string) []work.Replica
}

// SetReplicas sets the list of replicas. It must be called before the first attempt.
func (t *Tracker) SetReplicas(replicas Replicas) {
	t.replicas = replicas
}

// isLikelyCause reports whether enough replicas crashed under the request to refuse it, one of them under a trial: crashes
// at the same time may have another cause.
func (t *Tracker) isLikelyCause(now time.Time, req work.Fingerprint) bool {
	rec := t.history.get(now, req)
	if rec == nil || rec.failedTrials == 0 || now.Before(rec.blockedUntil) {
		return false
	}
	count := t.history.count(now, req)
	return count >= maxCrashes || (rec.blocks > 0 && count > 0)
}

// startBlockCheck starts to decide whether the requests, under which the replica has just crashed, are refused.
func (t *Tracker) startBlockCheck(now time.Time, service string, reqs []work.Fingerprint) {
	var likely []work.Fingerprint
	for _, req := range reqs {
		if t.isLikelyCause(now, req) {
			likely = append(likely, req)
		}
	}
	if len(likely) == 0 {
		return
	}
	c := &check{done: make(chan struct{})}
	for _, req := range likely {
		t.checking[req] = c
	}
	go func() {
		var others []work.Replica
		if t.replicas != nil {
			others = t.replicas.Listed(service)
		}
		t.send(t.endBlockCheck(c, likely, t.findDown(others, likely)))
		close(c.done)
	}()
}

// endBlockCheck refuses the requests unless all crashes under them may have another cause. down lists other replicas that refuse
// connections.
func (t *Tracker) endBlockCheck(c *check, likely []work.Fingerprint, down []string) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.ended = time.Now()
	for _, req := range likely {
		rec := t.history.get(c.ended, req)
		if rec == nil {
			continue
		}
		if reason := t.otherCause(rec, down); reason != "" {
			t.counts.Count(notBlockedMetric, 1)
			t.log.Info("crash: request not blocked", "request", req, "replicas", t.history.replicas(c.ended, req), "reason", reason)
			continue
		}
		t.block(c.ended, req)
	}
	reports := t.unsent
	t.unsent = nil
	return reports
}

// otherCause returns what shows that the replicas may not have crashed because of the request; empty if nothing does.
func (t *Tracker) otherCause(rec *record, down []string) string {
	for _, run := range down {
		if !rec.has(run) {
			return "other replicas are down"
		}
	}
	if t.crashedApart(rec) > 0 {
		return "other replicas crashed at the same time"
	}
	if !rec.lastTrialApart() {
		return "its replicas crashed at the same time"
	}
	return ""
}

// crashedApart returns the number of replicas that are known to have crashed at nearly the same time as those of the request,
// without it or another one that is known to be the cause.
func (t *Tracker) crashedApart(rec *record) int {
	n := 0
	for run, crash := range t.crashed {
		if !crash.alive && !rec.has(run) && rec.failedNear(crash.at) && !t.history.isExplained(run) {
			n++
		}
	}
	return n
}

// findDown returns the replicas, by RunID, that refuse connections although they are not known to have crashed. It checks at
// most maxProbes, and none at which an attempt of each request failed.
func (t *Tracker) findDown(reps []work.Replica, likely []work.Fingerprint) []string {
	reps = slices.DeleteFunc(reps, func(rep work.Replica) bool { return t.isKnownDown(rep.RunID(), likely) })
	reps = reps[:min(len(reps), maxProbes)]
	var mu sync.Mutex
	var all sync.WaitGroup
	var down []string
	for _, rep := range reps {
		all.Go(func() {
			if t.probe(rep) != Refused {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			down = append(down, rep.RunID())
		})
	}
	t.counts.Count(checkMetric, int64(len(reps)))
	all.Wait()
	return down
}

// isKnownDown reports whether the replica is known to have crashed, or an attempt of each of the requests failed there.
func (t *Tracker) isKnownDown(run string, reqs []work.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.knownCrash(run) {
		return true
	}
	for _, req := range reqs {
		if rec, ok := t.history.records[req]; !ok || !rec.has(run) {
			return false
		}
	}
	return true
}

// block refuses the request and tells the other boxes.
func (t *Tracker) block(now time.Time, req work.Fingerprint) {
	rec := t.history.records[req]
	duration := rec.block(now)
	t.recentBlocks[req] = true
	t.counts.Count(BlockedMetric, 1)
	t.log.Warn("crash: request blocked", "request", req, "replicas", t.history.replicas(now, req), "failures", rec.failures, "for", duration)
	t.unsent = append(t.unsent, rec.blockReport(now, req))
}

// reviewBlocks ends the refusal of requests if a replica has crashed soon after that without one of their attempts. A replica that
// ran only one request may have crashed because of that. It must be called before the replica is marked as crashed.
func (t *Tracker) reviewBlocks(at time.Time, run string, reqs []work.Fingerprint) {
	if len(reqs) < 2 || t.knownCrash(run) {
		return
	}
	for req := range t.recentBlocks {
		rec, ok := t.history.records[req]
		if !ok || !at.Before(rec.blockedUntil) || at.Sub(rec.blockedAt) > reviewWindow {
			delete(t.recentBlocks, req)
			continue
		}
		if at.Before(rec.blockedAt) || slices.Contains(reqs, req) || rec.has(run) {
			continue
		}
		rec.blockedUntil = at
		t.log.Info("crash: request no longer blocked, another replica crashed too", "request", req, "replica", run)
	}
}

package crash

import (
	"cmp"
	"slices"
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// MaxTogether is the number of replicas that one box lets run a request at the same time although none of them
	// responds to anything else either. It leaves the last crash that a request may cause to a trial.
	MaxTogether = maxCrashes - 1
	// maxCrashes is the number of replicas that may crash under a request before it is refused.
	maxCrashes = 3
	// retention is how long a crash counts, and how long a request is refused at first. The cause may have been removed
	// since then, for example by a new version of the replicas.
	retention = 10 * time.Minute
	// maxBlockTime bounds the time for which a request is refused. It doubles each time the trial after it crashes a replica.
	maxBlockTime = time.Hour
	// recordTTL is how long after its last failure a request is remembered; it exceeds maxBlockTime.
	recordTTL = 2 * time.Hour
	// maxRecords bounds the requests that are remembered; evictShare is the part of them that is evicted at once when
	// there are more.
	maxRecords = 4096
	evictShare = 8
	// maxEnds bounds the failures that are remembered one by one for a request.
	maxEnds = 8
	// coincidence is the time between two crashes that may have one cause, and quietHold the delay before a trial which may
	// be the last one, so that its crash can't have the cause of those before it.
	coincidence = 2 * time.Second
	quietHold   = coincidence + 100*time.Millisecond
	// undecidedHold is the delay before a trial if the request has failed maxCrashes times, and some of its replicas may
	// live. It leaves time to find out that they ended. The delays double with each further trial up to maxHold.
	undecidedHold = suspectTTL
	maxHold       = 10 * time.Minute
)

// history holds the requests whose attempts have failed. It is not safe for concurrent use.
type history struct {
	records map[work.Fingerprint]*record
}

// record holds the failures of one request.
type record struct {
	// ends holds at most maxEnds failures, the oldest first.
	ends []end
	// failures and failedTrials are the numbers of failures and of failed trials since the request was last answered.
	failures, failedTrials int
	// lastAt is the time of the latest failure, or at which the latest crash was found.
	lastAt time.Time
	// blockedAt and blockedUntil bound the time in which the request is refused, and blocks counts such times.
	blockedAt, blockedUntil time.Time
	blocks                  int
}

// end is an attempt without a complete answer, at a replica that has ended or may have.
type end struct {
	// replica is work.Replica.RunID.
	replica string
	// id identifies a trial; zero for other attempts.
	id uint64
	at time.Time
	// crashed is set once it is known that the replica has crashed.
	crashed bool
	// silent is set if the replica and its list entry disappeared, which a cut network may cause as well.
	silent bool
	// cleared is set once the request was answered after the failure.
	cleared bool
}

// isTrial reports whether the attempt began after earlier failures were known.
func (e end) isTrial() bool { return e.id != 0 }

// counts reports whether the end is a crash that still counts.
func (e end) counts(now time.Time) bool {
	return e.crashed && !e.cleared && now.Sub(e.at) < retention
}

// isSame reports whether both ends are of the same attempt, or of attempts that met the same crash.
func (e end) isSame(other end) bool {
	if e.replica != other.replica {
		return false
	}
	return e.id == other.id || !e.isTrial() || !other.isTrial()
}

// add records a failure of the request, and reports whether that, or the crash of its replica, was not known.
func (h *history) add(now time.Time, req work.Fingerprint, failed end) bool {
	if now.Sub(failed.at) >= retention {
		return false
	}
	rec, ok := h.records[req]
	if !ok {
		if len(h.records) >= maxRecords {
			h.evict(now)
		}
		rec = &record{}
		h.records[req] = rec
	}
	if at := slices.IndexFunc(rec.ends, failed.isSame); at >= 0 {
		updated := rec.ends[at].update(failed)
		if updated {
			rec.touch(failed.at)
		}
		return updated
	}
	if len(rec.ends) >= maxEnds {
		rec.ends = rec.ends[1:]
	}
	rec.ends = append(rec.ends, failed)
	rec.failures++
	if failed.isTrial() {
		rec.failedTrials++
	}
	rec.touch(failed.at)
	return true
}

// touch records that something was found at the given time.
func (r *record) touch(at time.Time) {
	if at.After(r.lastAt) {
		r.lastAt = at
	}
}

// update records the crash of an end that was only suspected, and reports whether it was.
func (e *end) update(failed end) bool {
	if e.crashed || !failed.crashed {
		return false
	}
	e.crashed, e.silent = true, failed.silent
	return true
}

// get returns the record of a request that has failed since it was last answered, or nil.
func (h *history) get(now time.Time, req work.Fingerprint) *record {
	rec, ok := h.records[req]
	if !ok || rec.failures == 0 || now.Sub(rec.lastAt) >= recordTTL {
		return nil
	}
	return rec
}

// count returns the number of replicas that crashed under the request.
func (h *history) count(now time.Time, req work.Fingerprint) int {
	return len(h.replicas(now, req))
}

// replicas returns the replicas that crashed under the request.
func (h *history) replicas(now time.Time, req work.Fingerprint) []string {
	rec, ok := h.records[req]
	if !ok {
		return nil
	}
	var ids []string
	for _, crashed := range rec.ends {
		if crashed.counts(now) && !slices.Contains(ids, crashed.replica) {
			ids = append(ids, crashed.replica)
		}
	}
	return ids
}

// has reports whether an attempt of the request has failed at the replica since the request was last answered.
func (r *record) has(replica string) bool {
	return slices.ContainsFunc(r.ends, func(failed end) bool { return failed.replica == replica && !failed.cleared })
}

// lastTrialApart reports whether the latest failure was a trial, and no other attempt failed at nearly the same time.
func (r *record) lastTrialApart() bool {
	last := r.ends[len(r.ends)-1]
	for _, failed := range r.ends[:len(r.ends)-1] {
		if !failed.cleared && last.at.Sub(failed.at).Abs() <= coincidence {
			return false
		}
	}
	return last.isTrial()
}

// failedNear reports whether an attempt has failed at nearly the given time since the request was last answered.
func (r *record) failedNear(at time.Time) bool {
	return slices.ContainsFunc(r.ends, func(failed end) bool { return !failed.cleared && failed.at.Sub(at).Abs() <= coincidence })
}

// nextTrialAt returns the time from which a trial may begin.
func (r *record) nextTrialAt() time.Time {
	if r.failures < maxCrashes-1 {
		return time.Time{}
	}
	if r.failures < maxCrashes || r.failedTrials == 0 {
		return r.lastAt.Add(quietHold)
	}
	hold := quietHold
	for _, failed := range r.ends {
		if !failed.cleared && !failed.crashed {
			hold = undecidedHold
		}
	}
	for range min(r.failedTrials, r.failures-maxCrashes+1) - 1 {
		hold = min(2*hold, maxHold)
	}
	return r.lastAt.Add(hold)
}

// block refuses the request from now on, and returns for how long.
func (r *record) block(now time.Time) time.Duration {
	duration := retention
	for range r.blocks {
		duration = min(2*duration, maxBlockTime)
	}
	r.blocks++
	r.blockedAt, r.blockedUntil = now, now.Add(duration)
	return duration
}

// clear makes the known failures of the request not count, since it was answered. They stay recorded, so that late
// reports of them do not count either.
func (h *history) clear(req work.Fingerprint) {
	rec, ok := h.records[req]
	if !ok {
		return
	}
	for i := range rec.ends {
		rec.ends[i].cleared = true
	}
	*rec = record{ends: rec.ends, lastAt: rec.lastAt}
}

// isExplained reports whether the replica crashed under a request that is refused or was.
func (h *history) isExplained(replica string) bool {
	for _, rec := range h.records {
		if rec.blocks > 0 && rec.has(replica) {
			return true
		}
	}
	return false
}

// retract makes the crash of a replica that answers again not count. The failures stay: another process may have taken
// its place.
func (h *history) retract(replica string) {
	for _, rec := range h.records {
		for i := range rec.ends {
			if rec.ends[i].replica == replica {
				rec.ends[i].crashed = false
			}
		}
	}
}

// evict drops the requests whose failures have lapsed, and beyond that those with the fewest crashes, the oldest first.
func (h *history) evict(now time.Time) {
	type candidate struct {
		req   work.Fingerprint
		count int
		last  time.Time
	}
	var kept []candidate
	for req, rec := range h.records {
		if now.Sub(rec.lastAt) >= recordTTL {
			delete(h.records, req)
			continue
		}
		kept = append(kept, candidate{req, rec.blocks + h.count(now, req), rec.lastAt})
	}
	slices.SortFunc(kept, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.last.Compare(b.last))
	})
	for _, oldest := range kept[:max(0, len(kept)-maxRecords+maxRecords/evictShare)] {
		delete(h.records, oldest.req)
	}
}

package crash

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// repeatFor is how long a failure is among those that Recent returns; failures of requests with two or more are
	// as long as they count.
	repeatFor = 5 * time.Second
	// maxRecent bounds the reports that Recent returns.
	maxRecent = 32
)

// Report tells another box that attempts of requests failed at a replica that crashed, or may have, or what follows from
// that for a request. Lost, late and repeated reports do no harm.
type Report struct {
	// Replica is work.Replica.RunID; empty if Answered is set.
	Replica string `json:"replica,omitempty"`
	// Trial is end.id.
	Trial uint64 `json:"trial,omitempty"`
	// Answered is set if earlier failures of the requests do not count.
	Answered bool `json:"answered,omitempty"`
	// Silent is set if the replica and its list entry disappeared without another sign of a crash.
	Silent bool `json:"silent,omitempty"`
	// Suspected is set if the replica may have crashed.
	Suspected bool `json:"suspected,omitempty"`
	// BlockedMillis is for how long the requests are refused from now on, and Blocks record.blocks; otherwise zero.
	BlockedMillis int64 `json:"blocked_ms,omitempty"`
	Blocks        int   `json:"blocks,omitempty"`
	// AgeMillis is the time since the failure, or since the requests were refused.
	AgeMillis int64              `json:"age_ms,omitempty"`
	Requests  []work.Fingerprint `json:"requests"`
}

// report returns the report of the failure under the requests.
func (e end) report(now time.Time, reqs ...work.Fingerprint) Report {
	return Report{Replica: e.replica, Trial: e.id, Silent: e.silent, Suspected: !e.crashed, AgeMillis: now.Sub(e.at).Milliseconds(), Requests: reqs}
}

// blockReport returns the report that the request is refused.
func (r *record) blockReport(now time.Time, req work.Fingerprint) Report {
	report := Report{BlockedMillis: r.blockedUntil.Sub(now).Milliseconds(), Blocks: r.blocks, AgeMillis: now.Sub(r.blockedAt).Milliseconds(), Requests: []work.Fingerprint{req}}
	if len(r.ends) > 0 {
		report.Replica = r.ends[len(r.ends)-1].replica // boxes of earlier versions take it for a crash
	}
	return report
}

// Merge records what another box reports.
func (t *Tracker) Merge(report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at := now.Add(-work.Millis(max(report.AgeMillis, 0)))
	switch {
	case report.Answered:
		for _, req := range report.Requests {
			t.history.clear(req)
			t.notifyWaiting(req)
		}
	case report.BlockedMillis > 0:
		t.mergeBlock(now, at, report)
	default:
		t.mergeEnds(now, at, report)
	}
}

// mergeEnds records failures at another box.
func (t *Tracker) mergeEnds(now, at time.Time, report Report) {
	if known := t.crashed[report.Replica]; known.alive && at.Before(known.at) {
		return
	}
	failed := end{replica: report.Replica, id: report.Trial, at: at, crashed: !report.Suspected, silent: report.Silent}
	if failed.crashed {
		t.reviewBlocks(at, report.Replica, report.Requests)
		t.markCrashed(at, report.Replica, report.Silent)
	}
	added := 0
	for _, req := range report.Requests {
		if t.history.add(now, req, failed) {
			added++
		}
	}
	t.counts.Gauge(recordsMetric, int64(len(t.history.records)))
	if added > 0 && failed.crashed {
		t.log.Info("crash: another box reported a crash", "replica", report.Replica, "requests", added, "first", report.Requests[0], "age", now.Sub(at))
	}
}

// mergeBlock refuses the requests as another box does.
func (t *Tracker) mergeBlock(now, at time.Time, report Report) {
	until := now.Add(min(work.Millis(report.BlockedMillis), maxBlockTime))
	for _, req := range report.Requests {
		if t.history.get(now, req) == nil {
			t.history.add(now, req, end{replica: report.Replica, at: at, crashed: true})
		}
		rec := t.history.get(now, req)
		if rec == nil || rec.blocks >= report.Blocks {
			continue // answered or known
		}
		rec.blocks, rec.blockedAt, rec.blockedUntil = report.Blocks, at, until
		t.recentBlocks[req] = true
		t.log.Info("crash: another box blocked a request", "request", req, "for", until.Sub(now))
	}
}

// Recent returns what other boxes may not know: new failures, and those of requests that may soon be refused or are.
func (t *Tracker) Recent() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.history.records) == 0 {
		return nil
	}
	now := time.Now()
	together := map[end]int{}
	var reports []Report
	for req, rec := range t.history.records {
		if t.history.get(now, req) == nil {
			continue
		}
		for _, failed := range rec.ends {
			age := now.Sub(failed.at)
			if failed.cleared || age >= retention || (rec.failures < 2 && age > repeatFor) {
				continue
			}
			same := end{replica: failed.replica, id: failed.id, crashed: failed.crashed, silent: failed.silent}
			if at, ok := together[same]; ok {
				reports[at].Requests = append(reports[at].Requests, req)
			} else if len(reports) < maxRecent {
				together[same] = len(reports)
				reports = append(reports, failed.report(now, req))
			}
		}
		if now.Before(rec.blockedUntil) && len(reports) < maxRecent {
			reports = append(reports, rec.blockReport(now, req))
		}
	}
	return reports
}

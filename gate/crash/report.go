package crash

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// repeatFor is how long a crash is among those that Recent returns; crashes under requests with two or more are
	// as long as they count.
	repeatFor = 5 * time.Second
	// maxRecent bounds the crashes that Recent returns.
	maxRecent = 32
)

// Report tells another box that a replica crashed while requests were in progress there, or that a request was answered
// after crashes. Lost, late and repeated reports do no harm.
type Report struct {
	// Replica is work.Replica.RunID; empty if Answered is set.
	Replica string `json:"replica,omitempty"`
	// Answered is set if earlier crashes under the requests do not count.
	Answered bool `json:"answered,omitempty"`
	// Silent is set if the replica and its list entry disappeared without another sign of a crash.
	Silent bool `json:"silent,omitempty"`
	// Suspected is set if the replica does not respond, so that it may have crashed.
	Suspected bool `json:"suspected,omitempty"`
	// AgeMillis is the time since the crash was found.
	AgeMillis int64              `json:"age_ms,omitempty"`
	Requests  []work.Fingerprint `json:"requests"`
}

// Merge records what another box reports.
func (t *Tracker) Merge(report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if report.Answered {
		for _, req := range report.Requests {
			t.history.clear(req)
			delete(t.suspected, req)
		}
		return
	}
	if report.Suspected {
		t.addSuspect(now, report.Replica, report.Requests)
		return
	}
	at := now.Add(-time.Duration(max(report.AgeMillis, 0)) * time.Millisecond)
	if known := t.crashed[report.Replica]; known.alive && at.Before(known.at) {
		return
	}
	t.markCrashed(now, report.Replica, report.Silent)
	added := t.addCrash(now, end{replica: report.Replica, at: at, silent: report.Silent}, report.Requests)
	if len(added) > 0 {
		t.log.Info("crash: another box reported a crash", "replica", report.Replica, "requests", len(added), "first", added[0], "age", now.Sub(at))
	}
}

// Recent returns the crashes that other boxes may not know: new ones, and those under requests that may soon be refused.
func (t *Tracker) Recent() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.history.records) == 0 {
		return nil
	}
	now := time.Now()
	byReplica := map[string]*Report{}
	for req, rec := range t.history.records {
		several := t.history.count(now, req) > 1
		for _, crashed := range rec.ends {
			age := now.Sub(crashed.at)
			if !crashed.counts(now) || (!several && age > repeatFor) {
				continue
			}
			report, ok := byReplica[crashed.replica]
			if !ok && len(byReplica) == maxRecent {
				continue
			}
			if !ok {
				report = &Report{Replica: crashed.replica, Silent: crashed.silent, AgeMillis: age.Milliseconds()}
				byReplica[crashed.replica] = report
			}
			report.Requests = append(report.Requests, req)
		}
	}
	reports := make([]Report, 0, len(byReplica))
	for _, report := range byReplica {
		reports = append(reports, *report)
	}
	return reports
}

package crash

import (
	"slices"
	"time"

	"mulleingate.dev/gate/work"
)

// suspectTTL is how long a replica that does not respond is suspected to have crashed. Until then its entry has gone if it
// has.
const suspectTTL = 5 * time.Second

// suspect is a replica that does not respond.
type suspect struct {
	replica string
	at      time.Time
}

// recordSuspect records that the replica does not respond since attempts there broke off, and reports it to the other
// boxes.
func (t *Tracker) recordSuspect(now time.Time, run string, attempts []undecided) {
	reqs := requests(attempts)
	t.addSuspect(now, run, reqs)
	t.unsent = append(t.unsent, Report{Replica: run, Suspected: true, Requests: reqs})
	t.log.Info("crash: replica does not respond after an answer broke off", "replica", run, "requests", len(reqs), "first", reqs[0])
}

// addSuspect adds the replica to those suspected under the requests.
func (t *Tracker) addSuspect(now time.Time, run string, reqs []work.Fingerprint) {
	for _, req := range reqs {
		t.dropSuspect(req, run)
		if len(t.suspected) >= maxRecords {
			t.forgetSuspects(now)
		}
		t.suspected[req] = append(t.suspected[req], suspect{replica: run, at: now})
	}
}

// suspects returns the number of replicas that are suspected under the request.
func (t *Tracker) suspects(now time.Time, req work.Fingerprint) int {
	n := 0
	for _, one := range t.suspected[req] {
		if now.Sub(one.at) < suspectTTL {
			n++
		}
	}
	return n
}

// dropSuspect makes the replica no longer suspected under the request.
func (t *Tracker) dropSuspect(req work.Fingerprint, run string) {
	if _, ok := t.suspected[req]; !ok {
		return
	}
	t.suspected[req] = slices.DeleteFunc(t.suspected[req], func(one suspect) bool { return one.replica == run })
	if len(t.suspected[req]) == 0 {
		delete(t.suspected, req)
	}
}

// forgetSuspects forgets replicas suspected for suspectTTL; all, if there are still too many.
func (t *Tracker) forgetSuspects(now time.Time) {
	for req, all := range t.suspected {
		if now.Sub(all[len(all)-1].at) >= suspectTTL {
			delete(t.suspected, req)
		}
	}
	if len(t.suspected) >= maxRecords {
		clear(t.suspected)
	}
}

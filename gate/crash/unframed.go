package crash

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// unframedTTL is how long after an unframed answer another attempt of the request is taken for a sign that the answer
	// was not complete, and maxUnframed bounds the answers that are remembered.
	unframedTTL = 8 * time.Second
	maxUnframed = 4096
)

// unframedAnswer is an answer whose end does not show whether it is complete.
type unframedAnswer struct {
	at      time.Time
	replica work.Replica
	// trial is end.id.
	trial uint64
}

// rememberUnframed remembers the replica of an unframed answer, until the request comes again.
func (t *Tracker) rememberUnframed(now time.Time, a *Attempt) {
	if len(t.unframed) >= maxUnframed {
		for req, answer := range t.unframed {
			if now.Sub(answer.at) > unframedTTL {
				delete(t.unframed, req)
			}
		}
	}
	if len(t.unframed) >= maxUnframed {
		clear(t.unframed)
	}
	t.unframed[a.req] = unframedAnswer{at: now, replica: a.replica, trial: a.trial}
}

// checkUnframed checks the replica of an earlier answer to the request. Checking each replica after each unframed answer
// would open too many connections; a caller that got a whole answer does not send its request again.
func (t *Tracker) checkUnframed(req work.Fingerprint) {
	t.mu.Lock()
	answer, ok := t.unframed[req]
	delete(t.unframed, req)
	t.mu.Unlock()
	if !ok || time.Since(answer.at) > unframedTTL {
		return
	}
	listed := t.isListed(answer.replica)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.check(time.Now(), answer.replica, undecided{req: req, at: answer.at, trial: answer.trial}, listed)
}

// checkUnlisted checks a replica that is no longer listed if it has sent unframed answers lately. Once it is gone, nothing
// tells whether it crashed or stopped as planned.
func (t *Tracker) checkUnlisted(now time.Time, rep work.Replica) {
	for _, answer := range t.unframed {
		if answer.replica.RunID() == rep.RunID() && now.Sub(answer.at) <= unframedTTL {
			go t.markIfRefused(rep)
			return
		}
	}
}

// markIfRefused records that the replica has crashed if it refuses connections.
func (t *Tracker) markIfRefused(rep work.Replica) {
	t.counts.Count(checkMetric, 1)
	if t.probe(rep) != Refused {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markCrashed(time.Now(), rep.RunID(), false)
}

package crash

import (
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// trialWait is how long an attempt waits for another one of its request that may show whether the request crashes
	// replicas.
	trialWait = 150 * time.Millisecond
	// grantTTL is how long a box may hold the only trial of a request without renewing its claim, and maxGrants bounds the
	// claims that are remembered.
	grantTTL  = 10 * time.Second
	maxGrants = 4096
)

// Arbiter makes sure that one trial of a request is in progress over all boxes.
type Arbiter interface {
	// Claim asks for the only trial of the request, with the ID of that trial. It returns false if another box holds it, and
	// true if it can't be asked for in time.
	Claim(req work.Fingerprint, trial uint64) bool
	// Release ends the claim of a trial.
	Release(req work.Fingerprint, trial uint64)
}

// noArbiter grants all claims.
type noArbiter struct{}

func (noArbiter) Claim(work.Fingerprint, uint64) bool { return true }
func (noArbiter) Release(work.Fingerprint, uint64)    {}

// SetArbiter sets the arbiter of trials. It must be called before the first attempt.
func (t *Tracker) SetArbiter(arbiter Arbiter) {
	t.arbiter = arbiter
}

// grant is the claim of a box that this one arbitrates.
type grant struct {
	box   string
	trial uint64
	until time.Time
}

// Grant reports whether the box may begin a trial of the request, since no other holds one.
func (t *Tracker) Grant(box string, req work.Fingerprint, trial uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if held, ok := t.grants[req]; ok && held.box != box && now.Before(held.until) {
		return false
	}
	if len(t.grants) >= maxGrants {
		for req, held := range t.grants {
			if !now.Before(held.until) {
				delete(t.grants, req)
			}
		}
	}
	if len(t.grants) >= maxGrants {
		return false
	}
	t.grants[req] = grant{box: box, trial: trial, until: now.Add(grantTTL)}
	return true
}

// Ungrant ends the claim of a trial.
func (t *Tracker) Ungrant(req work.Fingerprint, trial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants[req].trial == trial {
		delete(t.grants, req)
	}
}

// beginTrial makes the attempt the only trial of its request, over all boxes. It returns a fault if another one is in
// progress.
func (t *Tracker) beginTrial(a *Attempt) error {
	a.claimed = t.arbiter.Claim(a.req, a.trial)
	if err := t.checkClaimed(a); err != nil {
		a.End(NotRun, true)
		return err
	}
	return nil
}

// checkClaimed returns a fault if the trial must not begin, since another one is in progress or has failed meanwhile.
func (t *Tracker) checkClaimed(a *Attempt) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.claimed {
		return t.deferral(busyRetryDelay)
	}
	return t.admit(time.Now(), a.req)
}

// newTrialID returns an identifier of a trial.
func newTrialID() uint64 {
	return rand.Uint64() | 1
}

// admit returns a fault if the request is refused, or if its next trial may not begin yet.
func (t *Tracker) admit(now time.Time, req work.Fingerprint) error {
	if err := t.checkLocked(now, req); err != nil {
		return err
	}
	rec := t.history.get(now, req)
	if rec == nil {
		return nil
	}
	if wait := rec.nextTrialAt().Sub(now); wait > 0 {
		return t.deferral(max(wait, busyRetryDelay))
	}
	return nil
}

// isBusy reports whether attempts in progress may show soon whether the request crashes replicas.
func (t *Tracker) isBusy(now time.Time, req work.Fingerprint) bool {
	rec := t.history.get(now, req)
	if rec == nil {
		return false
	}
	if t.trials[req] {
		return true
	}
	return rec.failures < maxCrashes && rec.failures+t.inFlight[req] >= maxCrashes
}

// deferral returns the fault of an attempt that is asked to come again.
func (t *Tracker) deferral(delay time.Duration) error {
	t.counts.Count(deferredMetric, 1)
	return fault.Refuse(fault.Overloaded, "it is not known yet whether replicas crashed under the request").WithRetryAfter(delay)
}

// awaitOthers waits until no attempt in progress may show soon whether the request crashes replicas, or for trialWait.
func (t *Tracker) awaitOthers(req work.Fingerprint) {
	changed := t.changeOfBusy(req)
	if changed == nil {
		return
	}
	deadline := time.NewTimer(trialWait)
	defer deadline.Stop()
	for ; changed != nil; changed = t.changeOfBusy(req) {
		select {
		case <-changed:
			t.Await(req)
		case <-deadline.C:
			return
		}
	}
}

// changeOfBusy returns a channel that is closed once an attempt of the request has ended, or nil if the request is not
// busy.
func (t *Tracker) changeOfBusy(req work.Fingerprint) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isBusy(time.Now(), req) {
		return nil
	}
	changed, ok := t.changes[req]
	if !ok {
		changed = make(chan struct{})
		t.changes[req] = changed
	}
	return changed
}

// notifyWaiting wakes the attempts that wait for one of the request that has ended.
func (t *Tracker) notifyWaiting(req work.Fingerprint) {
	if changed, ok := t.changes[req]; ok {
		close(changed)
		delete(t.changes, req)
	}
}

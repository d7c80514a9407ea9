package crash

import (
	"context"
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// checkTimeout bounds a check, and so the time for which a call waits for the check of an earlier attempt.
	checkTimeout = 150 * time.Millisecond
	// probeInterval is the time between two tries of a check.
	probeInterval = 20 * time.Millisecond
	// confirmDelay is how long after a replica that broke an answer off has answered a check it is checked again: one that is
	// about to end may still answer for some milliseconds.
	confirmDelay = 30 * time.Millisecond
	// givenUpDelay is how long after it was given up an attempt's replica is checked. The replica may still run the request
	// until it notices that its connection was closed.
	givenUpDelay = 100 * time.Millisecond
	// checkTTL is how long the result of a check is used for further attempts at the replica.
	checkTTL = 200 * time.Millisecond
)

// occasion is when a replica is checked. It decides what the result means.
type occasion int

const (
	// onBreak is after an answer of a listed replica broke off.
	onBreak occasion = iota
	// onRemoval is when a replica is no longer listed after attempts there had ended without a complete answer.
	onRemoval
	// afterRemoval is after an answer of a replica that was not listed any more broke off.
	afterRemoval
)

// Contact is the result of a check of a replica.
type Contact int

// The results.
const (
	// Alive means that the replica answered.
	Alive Contact = iota
	// Accepted means that the replica's host accepted a connection, but nothing answered. The replica may be about to end.
	Accepted
	// Refused means that the host refused the connection.
	Refused
	// Silent means that no connection could be opened.
	Silent
	// Replaced means that another process answered.
	Replaced
)

// check is a check whether a replica still runs.
type check struct {
	when occasion
	// waiting holds the attempts that the check decides.
	waiting []undecided
	// ended and result are zero before the check has ended.
	ended  time.Time
	result Contact
	// done is closed once the check has ended and the other boxes have been told of its result.
	done chan struct{}
}

// check decides whether the replica of the attempt has crashed.
func (t *Tracker) check(now time.Time, rep work.Replica, ended undecided, listed bool) {
	run := rep.RunID()
	if t.knownCrash(run) {
		t.await(now, rep, ended)
		return
	}
	last := t.checks[run]
	switch {
	case last != nil && last.ended.IsZero():
		last.waiting = append(last.waiting, ended)
		t.checking[ended.req] = last
	case last != nil && now.Sub(last.ended) < checkTTL:
		t.decide(now, rep, last, []undecided{ended})
	case listed:
		t.startCheck(now, rep, onBreak, []undecided{ended}, 0)
	default:
		t.startCheck(now, rep, afterRemoval, []undecided{ended}, 0)
	}
}

// startCheck starts a check of the replica after a delay.
func (t *Tracker) startCheck(now time.Time, rep work.Replica, when occasion, waiting []undecided, delay time.Duration) {
	for run, last := range t.checks {
		if !last.ended.IsZero() && now.Sub(last.ended) > checkTTL {
			delete(t.checks, run)
		}
	}
	for req, last := range t.checking {
		if !last.ended.IsZero() && now.Sub(last.ended) > checkTTL {
			delete(t.checking, req)
		}
	}
	c := &check{when: when, waiting: waiting, done: make(chan struct{})}
	t.checks[rep.RunID()] = c
	for _, ended := range waiting {
		t.checking[ended.req] = c
	}
	t.counts.Count(checkMetric, 1)
	go func() {
		time.Sleep(delay)
		result := t.probe(rep)
		if result == Alive && when == onBreak {
			time.Sleep(confirmDelay)
			result = t.probe(rep)
		}
		t.send(t.endCheck(rep, c, result)) // before a caller that waits for the check can turn to another box
		close(c.done)
	}()
}

// endCheck records the result of a check, and returns the reports of what it showed.
func (t *Tracker) endCheck(rep work.Replica, c *check, result Contact) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.ended, c.result = time.Now(), result
	t.decide(c.ended, rep, c, c.waiting)
	c.waiting = nil
	reports := t.unsent
	t.unsent = nil
	return reports
}

// probe checks the replica, again while it accepts connections but does not answer: one that ends soon refuses them then.
func (t *Tracker) probe(rep work.Replica) Contact {
	ctx, stop := context.WithTimeout(context.Background(), checkTimeout)
	defer stop()
	for {
		result := t.prober.Probe(ctx, rep)
		if result != Accepted {
			return result
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return result
		}
	}
}

// decide ends attempts by a check of their replica that has ended. A replica that is no longer listed and refuses
// connections may have stopped as planned, and cut the answers that were still in progress.
func (t *Tracker) decide(now time.Time, rep work.Replica, c *check, attempts []undecided) {
	switch {
	case c.result == Replaced:
		t.recordCrash(now, rep, false, shownByAnswer, attempts)
	case c.result == Refused && c.when != afterRemoval:
		t.recordCrash(now, rep, false, shownByRefusal, attempts)
	case c.result == Silent && c.when != onBreak:
		t.recordCrash(now, rep, true, shownBySilence, attempts)
	case c.when == onBreak:
		t.suspect(now, rep, c.result, attempts)
	}
}

// suspect keeps attempts until it is known whether their replica, which is listed, has crashed.
func (t *Tracker) suspect(now time.Time, rep work.Replica, result Contact, attempts []undecided) {
	var suspected []undecided
	for _, ended := range attempts {
		ended.accepted = result != Silent
		ended.broken = ended.broken && result != Alive
		t.await(now, rep, ended)
		if ended.broken || result == Silent {
			suspected = append(suspected, ended)
		}
	}
	if len(suspected) == 0 {
		return
	}
	state := "does not respond"
	if result == Accepted {
		state = "accepts connections"
	}
	t.recheckLater(rep)
	t.recordSuspect(now, rep, state, suspected)
}

// Await waits for the checks that concern the request. An attempt that broke off must wait before its caller learns of that,
// so that other boxes know of the crash before the caller turns to them.
func (t *Tracker) Await(req work.Fingerprint) {
	for {
		t.mu.Lock()
		c := t.checking[req]
		t.mu.Unlock()
		if c == nil {
			return
		}
		<-c.done
		t.mu.Lock()
		if t.checking[req] == c {
			delete(t.checking, req)
		}
		t.mu.Unlock()
	}
}

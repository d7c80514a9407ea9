package target

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/work"
)

// Lease is a call's place at a replica. Done must be called exactly once.
type Lease struct {
	Replica work.Replica
	// CachedTokens is the estimated number of prompt tokens in the replica's cache.
	CachedTokens int
	// ExpectedCost is the expected cost of the call at the replica, and Candidates the number of replicas
	// that it was selected from.
	ExpectedCost time.Duration
	Candidates   int
	// EndUnknown must be set before Done if the end of the answer does not show whether it is complete.
	EndUnknown bool
	// Unbroken must be set before Done if the answer did not arrive in time or was not valid, although the connection did
	// not break.
	Unbroken bool

	targets   *Targets
	state     *state
	attempt   *crash.Attempt
	ask       CallRequest
	startedAt time.Time
	// expected is how long the response may take, and responded is set once it has come.
	expected  time.Duration
	responded bool
	// held is set while this box does not read the answer, and delayed once it has not.
	held, delayed bool
	// firstEventAfter is the time from the lease to the answer's first event, zero before it.
	firstEventAfter time.Duration
	// lightLoad is set if the replica was lightly loaded when the call was placed.
	lightLoad bool
}

// Pool returns the connections to the replica.
func (l *Lease) Pool() Pool {
	return l.state.pool
}

// CancelOnRestart returns a context that is also cancelled once the replica is known to have restarted.
// The call is then lost, and its caller can retry at once. The returned function must be called after
// the call.
func (l *Lease) CancelOnRestart(ctx context.Context) (context.Context, func()) {
	ctx, stop := context.WithCancel(ctx)
	if l.state == nil {
		return ctx, stop
	}
	stopWatch := context.AfterFunc(l.state.ctx, stop)
	return ctx, func() {
		stopWatch()
		stop()
	}
}

// Outcome is how a leased call ended.
type Outcome int

// The outcomes of a leased call.
const (
	// Answered means that the whole answer arrived.
	Answered Outcome = iota
	// Refused means that the replica reported that it did not run the call.
	Refused
	// Unreached means that the call did not reach the replica, usually since no connection could be opened.
	Unreached
	// PoolFull means that the call was not sent, since this box had no connection to the replica free and
	// could open no more. It says nothing about the replica.
	PoolFull
	// Incomplete means that the answer did not arrive or was incomplete.
	Incomplete
	// Failed means that a whole answer reported that the replica failed the call.
	Failed
	// Unresponsive means that the caller left after the replica had sent nothing for long.
	Unresponsive
	// Abandoned means that the caller left or its time ran out; it says nothing about the replica.
	Abandoned
	// GivenUp means that this box gave the call up while the replica may still run it; it says nothing about the
	// replica.
	GivenUp
)

// NotSentOutcome returns the outcome of a call that a sender did not get to the replica.
func NotSentOutcome(err error) Outcome {
	if fault.Is(err, fault.Overloaded) {
		return PoolFull
	}
	return Unreached
}

// Done releases the place and records how the call ended. took is the time of a unit of work, zero if it
// is unknown.
func (l *Lease) Done(out Outcome, took time.Duration) {
	t, s := l.targets, l.state
	t.mu.Lock()
	defer t.mu.Unlock()
	l.attempt.End(l.ending(out), !s.removed && (!s.missing || t.entriesLapsed(s.Service)))
	s.inFlight--
	l.endResponse(time.Now(), out)
	if l.ask.Prompt != nil {
		t.finishTurn(l, out, took)
	}
	if took > 0 {
		mean, ok := t.meanUnitTime[l.ask.WorkKind]
		if !ok {
			mean = took
		}
		t.meanUnitTime[l.ask.WorkKind] = mean + time.Duration(unitTimeGain*float64(took-mean))
		s.slowdown += slowdownGain * (float64(took)/float64(mean) - s.slowdown)
	}
	if !s.removed {
		t.applyOutcome(s, out)
	}
	if s.removed && s.inFlight == 0 && s.pool != nil {
		s.pool.Close()
	}
}

// ending returns how the attempt ended, as crashes are concerned.
func (l *Lease) ending(out Outcome) crash.Ending {
	switch out {
	case Refused, Unreached, PoolFull:
		return crash.NotRun
	case Answered, Failed:
		if l.EndUnknown {
			return crash.Unframed
		}
		return crash.Completed
	case Incomplete, Unresponsive, Abandoned, GivenUp:
	}
	switch {
	case l.state.restarted:
		return crash.Restarted
	case l.state.Draining:
		return crash.NotRun
	case out == Unresponsive, out == Incomplete && l.Unbroken:
		return crash.Unanswered
	case out == Incomplete:
		return crash.Broken
	case out == GivenUp:
		return crash.GivenUp
	default:
		return crash.Unknown
	}
}

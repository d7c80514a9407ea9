package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	// maxSends bounds how many replicas one call is sent to, whether they run it or not.
	maxSends = 5
	// attemptDivisor sets the timeout of an attempt at a repeatable call, after which another replica is
	// tried: the remaining time divided by attemptDivisor, or the route's objective if that is longer.
	attemptDivisor = 5
	// minAttemptTimeout is the shortest timeout of such an attempt. It allows for a network round trip and
	// the wait in a full queue.
	minAttemptTimeout = 250 * time.Millisecond
	// minRetryTime is the least time before the deadline at which another replica is still tried.
	minRetryTime = 30 * time.Millisecond
	// retryAfter is the Retry-After delay of a refused call: about the time until a replica of a fully loaded
	// service has capacity again.
	retryAfter = 150 * time.Millisecond
	// silenceThreshold is how long a replica may leave a call unanswered before the failure counts against
	// the replica although the caller has left.
	silenceThreshold = 1500 * time.Millisecond
	// maxBuffered is the size, in bytes, below which an answer is read completely before it is forwarded.
	maxBuffered = 64 << 10
	// freeBuffer is the size in bytes up to which an answer is read in any case. A longer one is forwarded as it arrives
	// if many others are held.
	freeBuffer = 8 << 10
)

// Sender sends a call to a replica.
type Sender interface {
	// Send returns once the head of the answer has arrived. left is how long the replica may take. A fault
	// with NotRun means that the replica has not received the call; its kind is Overloaded if no connection
	// to the replica was free.
	Send(ctx context.Context, lease *target.Lease, call *work.Call, left time.Duration) (work.Reply, error)
}

// Targets selects replicas.
type Targets interface {
	// Take selects a replica and reserves capacity on it.
	Take(ask target.CallRequest) (*target.Lease, error)
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Relay sends calls to replicas.
type Relay struct {
	targets Targets
	sender  Sender
	// buffers bounds the answers that are being read completely before they are forwarded.
	buffers *memory.Budget
	counts  Counts
	log     *slog.Logger
}

// New returns a Relay. buffers is the memory for answers.
func New(targets Targets, sender Sender, buffers *memory.Budget, counts Counts, log *slog.Logger) *Relay {
	return &Relay{targets: targets, sender: sender, buffers: buffers, counts: counts, log: log}
}

// attempts is the state of one call across its attempts.
type attempts struct {
	*Relay
	call  *work.Call
	route *work.Route
	avoid []string
	// share is the memory that the answer takes.
	share *memory.Share
	// sent counts the replicas that the call was sent to, runs those that may have run it.
	sent, runs int
	// last is the error of the latest attempt.
	last error
}

// answer is a replica's answer that is ready to be forwarded.
type answer struct {
	head work.Head
	// body is the complete body, or its beginning if rest is set.
	body []byte
	rest io.Reader
	// end releases the connection and the lease once rest was read; nil if they are already released.
	// writeTime is the time spent on writes to the caller, which says nothing about the replica.
	end func(out target.Outcome, writeTime time.Duration)
}

// timedAnswer is the answer to a caller. It measures how long writes take.
type timedAnswer struct {
	work.Answer
	// writeTime is the time spent on writes, and written the end of the latest one.
	writeTime time.Duration
	written   time.Time
}

// Write implements work.Answer.
func (t *timedAnswer) Write(data []byte) error {
	start := time.Now()
	err := t.Answer.Write(data)
	t.written = time.Now()
	t.writeTime += t.written.Sub(start)
	return err
}

// Forward runs the call. It returns nil after a complete answer; a fault with NotRun if no replica has run the
// call or will; and any other fault if one may have run it.
func (r *Relay) Forward(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	a := &attempts{Relay: r, call: call, route: route, share: memory.NewShare(r.buffers, freeBuffer)}
	defer a.share.Release()
	for {
		got, err := a.try(ctx)
		if err == nil {
			return a.forward(ctx, got, out)
		}
		a.last = err
		if !a.canRetry(ctx, err) {
			return a.failure(ctx)
		}
	}
}

// canRetry reports whether another replica may be tried after err.
func (a *attempts) canRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || time.Until(a.call.Deadline) < minRetryTime || a.sent >= maxSends {
		return false
	}
	if isNoReplica(err) {
		return false
	}
	return a.runs == 0 || (a.route.Kind == work.Repeatable && a.runs < a.route.Attempts)
}

// noReplicaError says that no replica is left to try.
type noReplicaError struct{ cause error }

func (e noReplicaError) Error() string { return e.cause.Error() }
func (e noReplicaError) Unwrap() error { return e.cause }

// isNoReplica reports whether err is or wraps a noReplicaError.
func isNoReplica(err error) bool {
	var none noReplicaError
	return errors.As(err, &none)
}

// failure returns the fault of a call that no replica answered, and logs it.
func (a *attempts) failure(ctx context.Context) error {
	f := fault.From(a.last)
	kind := f.Kind
	switch {
	case ctx.Err() == context.Canceled:
		kind = fault.CallerGone
	case ctx.Err() != nil:
		kind = fault.TimedOut
	}
	a.log.Info("relay: call failed", "id", a.call.ID, "request", a.call.Request, "route", a.route.Name, "kind", kind, "sent", a.sent, "ran", a.runs,
		"after", time.Since(a.call.Arrived), "cause", a.last)
	a.counts.Count("relay.failed", 1)
	if a.runs == 0 && target.RefusesRequest(a.last) {
		return f
	}
	if a.runs == 0 {
		return fault.Refuse(fault.Overloaded, "no replica accepted the call").WithRetryAfter(retryAfter).WithCause(a.last)
	}
	return fault.Fail(kind, "no replica answered the call").WithCause(a.last)
}

// try sends the call to one replica.
func (a *attempts) try(ctx context.Context) (answer, error) {
	lease, err := a.targets.Take(target.CallRequest{Request: a.call.Request, WorkKind: a.route.Name, Services: a.route.Splits, Regions: a.call.Regions, Exclude: a.avoid})
	if err != nil {
		return answer{}, noReplicaError{cause: err}
	}
	a.sent++
	a.avoid = append(a.avoid, lease.Replica.ID)
	limit := time.Until(a.call.Deadline)
	replicaCtx, stopReplicaCtx := lease.CancelOnRestart(ctx)
	tryCtx, cancel := context.WithTimeout(replicaCtx, a.attemptTimeout(limit))
	stop := func() {
		cancel()
		stopReplicaCtx()
	}
	start := time.Now()
	a.call.MayHaveRun = a.runs > 0
	reply, err := a.sender.Send(tryCtx, lease, a.call, limit)
	if err != nil {
		lease.Unbroken = isTimedOut(tryCtx) || fault.Is(err, fault.Protocol)
		stop()
		return answer{}, a.endFailed(ctx, lease, start, err)
	}
	if reply.NotRun {
		reply.Body.Close()
		stop()
		lease.Done(target.Refused, 0)
		a.counts.Count("relay.replica_refused", 1)
		return answer{}, fault.Refuse(fault.Overloaded, "the replica did not run the call")
	}
	a.runs++
	lease.EndUnknown = reply.Head.Unframed
	return a.accept(ctx, tryCtx, lease, reply.CheckEvents(a.route.Kind), stop, start)
}

// isTimedOut reports whether the time of an attempt has run out.
func isTimedOut(tryCtx context.Context) bool {
	return errors.Is(tryCtx.Err(), context.DeadlineExceeded)
}

// accept returns the answer to forward for the reply of a replica that has run the call. tryCtx is that of the attempt.
func (a *attempts) accept(ctx, tryCtx context.Context, lease *target.Lease, reply work.Reply, stop func(), start time.Time) (answer, error) {
	if reply.Succeeded() && !reply.Signed {
		reply.Body.Close()
		stop()
		lease.Unbroken = true
		lease.Done(target.Incomplete, 0)
		return answer{}, fault.Fail(fault.Protocol, "the answer lacks the replica's proof of origin")
	}
	if a.route.Kind == work.Stream && reply.Succeeded() {
		return a.streamed(lease, reply, stop, start), nil
	}
	return a.read(ctx, tryCtx, lease, reply, stop, start)
}

// attemptTimeout returns how long one attempt may take. A call that cannot be sent to another replica gets
// all of the remaining time.
func (a *attempts) attemptTimeout(left time.Duration) time.Duration {
	if a.route.Kind != work.Repeatable || a.runs+1 >= a.route.Attempts {
		return left
	}
	return min(left, max(minAttemptTimeout, a.route.Objective, left/attemptDivisor))
}

// endFailed ends an attempt that got no answer or an incomplete one, and returns err.
func (a *attempts) endFailed(ctx context.Context, lease *target.Lease, start time.Time, err error) error {
	if fault.From(err).NotRun {
		lease.Done(target.NotSentOutcome(err), 0)
		return err
	}
	a.runs++
	if ctx.Err() != nil && time.Since(start) < silenceThreshold {
		lease.Done(target.Abandoned, 0)
		return err
	}
	lease.Done(target.Incomplete, 0)
	a.log.Info("relay: replica gave no answer", "id", a.call.ID, "request", a.call.Request, "replica", lease.Replica.ID, "cause", err)
	return err
}

// read reads a short answer completely, so that an incomplete one is never forwarded, and only the beginning
// of one that is long or for which there is no memory.
func (a *attempts) read(ctx, tryCtx context.Context, lease *target.Lease, reply work.Reply, stop func(), start time.Time) (answer, error) {
	body, whole, err := a.share.ReadAll(reply.Body, maxBuffered)
	end := func(out target.Outcome, writeTime time.Duration) {
		took := time.Since(start) - writeTime
		if a.route.Kind == work.Stream {
			took = 0 // says nothing of the time between events
		}
		reply.Body.Close()
		stop()
		lease.Done(out, took)
	}
	if err == nil && !whole {
		return answer{head: reply.Head, body: body, rest: reply.Body, end: end}, nil
	}
	if err != nil {
		lease.Unbroken = isTimedOut(tryCtx)
		reply.Body.Close()
		stop()
		a.runs--
		return answer{}, a.endFailed(ctx, lease, start, fault.Fail(fault.TargetFailed, "the answer broke off").WithCause(err))
	}
	end(replyOutcome(reply), 0)
	a.log.Info("relay: call answered", "id", a.call.ID, "route", a.route.Name, "replica", lease.Replica.ID, "status", reply.Head.Status,
		"score", lease.ExpectedCost, "among", lease.Candidates, "sent", a.sent, "framed", !reply.Head.Unframed, "took", time.Since(a.call.Arrived))
	a.countFraming(reply.Head)
	if a.retriesFailure(reply) {
		return answer{}, fault.Fail(fault.TargetFailed, "the replica failed the call")
	}
	reply.Head.Length = int64(len(body))
	return answer{head: reply.Head, body: body}, nil
}

// streamed returns an answer that is forwarded as it arrives. start is when the call was sent.
func (a *attempts) streamed(lease *target.Lease, reply work.Reply, stop func(), start time.Time) answer {
	end := func(out target.Outcome, _ time.Duration) {
		reply.Body.Close()
		stop()
		lease.Done(out, 0)
	}
	return answer{head: reply.Head, rest: &watchedBody{Reader: reply.Body, lease: lease, sentAt: start}, end: end}
}

// watchedBody is the body of an answer. It tells the lease of the first bytes.
type watchedBody struct {
	io.Reader
	lease *target.Lease
	// sentAt is when the call was sent.
	sentAt time.Time
	begun  bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	if n > 0 && !b.begun {
		b.begun = true
		b.lease.RecordFirstEvent(time.Since(b.sentAt))
	}
	return n, err
}

// replyOutcome returns Failed for a status of 500 or above, and Answered for others.
func replyOutcome(reply work.Reply) target.Outcome {
	if reply.Head.Status >= http.StatusInternalServerError {
		return target.Failed
	}
	return target.Answered
}

// retriesFailure reports whether the reply is a failure of the replica after which another replica may be
// tried.
func (a *attempts) retriesFailure(reply work.Reply) bool {
	if reply.Head.Status < http.StatusInternalServerError || a.route.Kind != work.Repeatable {
		return false
	}
	return a.runs < a.route.Attempts && time.Until(a.call.Deadline) > minRetryTime && a.sent < maxSends
}

// forward sends an answer to the caller.
func (a *attempts) forward(ctx context.Context, got answer, to work.Answer) error {
	out := &timedAnswer{Answer: to, written: time.Now()}
	a.counts.Time("relay.time{class="+a.route.Name+"}", time.Since(a.call.Arrived))
	if err := out.Begin(got.head); err != nil {
		got.close(target.Abandoned, out.writeTime)
		return err
	}
	if len(got.body) > 0 {
		if err := out.Write(got.body); err != nil {
			got.close(target.Abandoned, out.writeTime)
			return err
		}
	}
	if got.rest == nil {
		return nil
	}
	if err := work.CopyBody(got.rest, out, fault.TargetFailed); err != nil {
		got.close(brokenOutcome(ctx, out, err), out.writeTime)
		a.log.Info("relay: answer broke off", "id", a.call.ID, "request", a.call.Request, "route", a.route.Name, "sent", a.sent, "framed", !got.head.Unframed,
			"after", time.Since(a.call.Arrived), "cause", err)
		return err
	}
	got.close(target.Answered, out.writeTime)
	a.log.Info("relay: answer passed on", "id", a.call.ID, "route", a.route.Name, "sent", a.sent, "framed", !got.head.Unframed, "took", time.Since(a.call.Arrived))
	a.countFraming(got.head)
	return nil
}

// countFraming counts a complete answer that ended with its connection.
func (a *attempts) countFraming(head work.Head) {
	if head.Unframed {
		a.counts.Count("relay.unframed", 1)
	}
}

// brokenOutcome returns the outcome to report for the replica after an answer that was forwarded only in part: a
// caller that does not take it, or leaves, does not count against the replica, unless that was silent.
func brokenOutcome(ctx context.Context, out *timedAnswer, err error) target.Outcome {
	if fault.Is(err, fault.CallerGone) {
		return target.Abandoned
	}
	if ctx.Err() != nil && time.Since(out.written) < silenceThreshold {
		return target.Abandoned
	}
	return target.Incomplete
}

// close calls end if it is not nil.
func (a answer) close(out target.Outcome, writeTime time.Duration) {
	if a.end != nil {
		a.end(out, writeTime)
	}
}

package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	// maxSends bounds the replicas that one call is offered to, whether they run it or not.
	maxSends = 5
	// patience is the part of the time left, one in so many, that a repeatable call may take at
	// one replica before another is tried, unless its objective is longer.
	patience = 5
	// leastPatience bounds that from below: a network round trip and a full queue.
	leastPatience = 250 * time.Millisecond
	// worthTrying is the least time left in which another replica can still answer.
	worthTrying = 30 * time.Millisecond
	// retryAfter is the advice given with a refusal: about the time until a replica of a
	// full service has a place again.
	retryAfter = 150 * time.Millisecond
	// hangsAfter is the time without an answer from which a replica is blamed even though the
	// caller has left: no call of the users' services takes so long.
	hangsAfter = 1500 * time.Millisecond
	// maxWhole is the longest answer that is read whole before it is passed on, in bytes.
	maxWhole = 64 << 10
)

// Sender hands a call to a replica.
type Sender interface {
	// Send returns once the head of the answer has come. Left is how long the replica may
	// work. A fault with NotRun means that the replica has not seen the call.
	Send(ctx context.Context, lease *target.Lease, call *work.Call, left time.Duration) (work.Reply, error)
}

// Targets chooses replicas.
type Targets interface {
	Take(ask target.Ask) (*target.Lease, error)
}

// Counts takes figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Relay carries calls.
type Relay struct {
	targets Targets
	sender  Sender
	counts  Counts
	log     *slog.Logger
}

// New makes a relay.
func New(targets Targets, sender Sender, counts Counts, log *slog.Logger) *Relay {
	return &Relay{targets: targets, sender: sender, counts: counts, log: log}
}

// attempts is the state of one call.
type attempts struct {
	*Relay
	call  *work.Call
	route *work.Route
	avoid []string
	// sent counts the replicas that the call was offered to, ran those that may have run it.
	sent, ran int
	// last is why the newest attempt failed.
	last error
}

// whole is an answer that was read to its end.
type whole struct {
	head work.Head
	// body is the answer, or its beginning if rest is set.
	body []byte
	rest io.Reader
	// end closes a long answer after rest was read.
	end func(out target.Outcome)
}

// Carry runs the call. It returns nil after a whole answer; a fault with NotRun if no
// replica ran it or ever will; any other fault if one may have.
func (r *Relay) Carry(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	a := &attempts{Relay: r, call: call, route: route}
	for {
		got, err := a.try(ctx)
		if err == nil {
			return a.pass(got, out)
		}
		a.last = err
		if !a.again(ctx, err) {
			return a.failure(ctx)
		}
	}
}

// again reports whether another replica may be tried.
func (a *attempts) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || time.Until(a.call.Deadline) < worthTrying || a.sent >= maxSends {
		return false
	}
	if noneLeft(err) {
		return false
	}
	return a.ran == 0 || (a.route.Kind == work.Repeatable && a.ran < a.route.Attempts)
}

// noneLeftError says that no replica is left to try.
type noneLeftError struct{ cause error }

func (e noneLeftError) Error() string { return e.cause.Error() }
func (e noneLeftError) Unwrap() error { return e.cause }

func noneLeft(err error) bool {
	var none noneLeftError
	return errors.As(err, &none)
}

// failure is the final answer of a call that no replica answered.
func (a *attempts) failure(ctx context.Context) error {
	f := fault.From(a.last)
	kind := f.Kind
	switch {
	case ctx.Err() == context.Canceled:
		kind = fault.CallerGone
	case ctx.Err() != nil:
		kind = fault.TimedOut
	}
	a.log.Info("relay: call failed", "id", a.call.ID, "route", a.route.Name, "kind", kind, "sent", a.sent, "ran", a.ran,
		"after", time.Since(a.call.Arrived), "cause", a.last)
	a.counts.Count("relay.failed", 1)
	if a.ran == 0 {
		return fault.Refuse(fault.Overloaded, "no replica took the call").After(retryAfter).Because(a.last)
	}
	return fault.Fail(kind, "no replica answered the call").Because(a.last)
}

// try offers the call to one replica.
func (a *attempts) try(ctx context.Context) (whole, error) {
	lease, err := a.targets.Take(target.Ask{Work: a.route.Name, Services: a.route.Splits, Regions: a.call.Regions, Avoid: a.avoid})
	if err != nil {
		return whole{}, noneLeftError{cause: err}
	}
	a.sent++
	a.avoid = append(a.avoid, lease.Replica.ID)
	limit := time.Until(a.call.Deadline)
	guarded, leave := lease.Guard(ctx)
	tryCtx, cancel := context.WithTimeout(guarded, a.patience(limit))
	stop := func() {
		cancel()
		leave()
	}
	start := time.Now()
	reply, err := a.sender.Send(tryCtx, lease, a.call, limit)
	if err != nil {
		stop()
		return whole{}, a.broken(ctx, lease, start, err)
	}
	if reply.NotRun {
		reply.Body.Close()
		stop()
		lease.Done(target.Refused, 0)
		a.counts.Count("relay.replica_refused", 1)
		return whole{}, fault.Refuse(fault.Overloaded, "the replica did not run the call")
	}
	a.ran++
	if a.route.Kind == work.Stream {
		return a.flow(lease, reply, stop), nil
	}
	return a.read(ctx, lease, reply, stop, start)
}

// patience is how long one replica may take. A call that may not be repeated waits for its
// replica as long as its caller does.
func (a *attempts) patience(left time.Duration) time.Duration {
	if a.route.Kind != work.Repeatable || a.ran+1 >= a.route.Attempts {
		return left
	}
	return min(left, max(leastPatience, a.route.Objective, left/patience))
}

// broken ends an attempt without an answer.
func (a *attempts) broken(ctx context.Context, lease *target.Lease, start time.Time, err error) error {
	if fault.From(err).NotRun {
		lease.Done(target.Unreached, 0)
		return err
	}
	a.ran++
	if ctx.Err() != nil && time.Since(start) < hangsAfter {
		lease.Done(target.Dropped, 0)
		return err
	}
	lease.Done(target.Broken, 0)
	a.log.Info("relay: replica gave no answer", "id", a.call.ID, "replica", lease.Replica.ID, "cause", err)
	return err
}

// read reads a short answer to its end, so that a broken one never looks whole, and the
// beginning of a long one.
func (a *attempts) read(ctx context.Context, lease *target.Lease, reply work.Reply, stop func(), start time.Time) (whole, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole))
	end := func(out target.Outcome) {
		reply.Body.Close()
		stop()
		lease.Done(out, time.Since(start))
	}
	if err == nil && len(body) == maxWhole {
		return whole{head: reply.Head, body: body, rest: reply.Body, end: end}, nil
	}
	if err != nil {
		reply.Body.Close()
		stop()
		a.ran--
		return whole{}, a.broken(ctx, lease, start, fault.Fail(fault.TargetFailed, "the answer broke off").Because(err))
	}
	if reply.Head.Status < http.StatusMultipleChoices && !reply.Sound {
		end(target.Broken)
		return whole{}, fault.Fail(fault.Protocol, "the answer lacks the replica's proof of origin")
	}
	end(verdict(reply))
	a.log.Info("relay: call answered", "id", a.call.ID, "route", a.route.Name, "replica", lease.Replica.ID, "status", reply.Head.Status,
		"score", lease.Score, "among", lease.Among, "sent", a.sent, "took", time.Since(a.call.Arrived))
	if a.failed(reply) {
		return whole{}, fault.Fail(fault.TargetFailed, "the replica failed the call")
	}
	reply.Head.Length = int64(len(body))
	return whole{head: reply.Head, body: body}, nil
}

// flow is an answer that is passed on as it comes.
func (a *attempts) flow(lease *target.Lease, reply work.Reply, stop func()) whole {
	end := func(out target.Outcome) {
		reply.Body.Close()
		stop()
		lease.Done(out, 0)
	}
	return whole{head: reply.Head, rest: reply.Body, end: end}
}

// verdict tells a replica's own failure from its other answers.
func verdict(reply work.Reply) target.Outcome {
	if reply.Head.Status >= http.StatusInternalServerError {
		return target.Failed
	}
	return target.Answered
}

// failed reports whether a replica's own failure is worth another try.
func (a *attempts) failed(reply work.Reply) bool {
	if reply.Head.Status < http.StatusInternalServerError || a.route.Kind != work.Repeatable {
		return false
	}
	return a.ran < a.route.Attempts && time.Until(a.call.Deadline) > worthTrying && a.sent < maxSends
}

// pass hands an answer to the caller.
func (a *attempts) pass(got whole, out work.Answer) error {
	a.counts.Time("relay.time{class="+a.route.Name+"}", time.Since(a.call.Arrived))
	if err := out.Begin(got.head); err != nil {
		got.close(target.Dropped)
		return err
	}
	if len(got.body) > 0 {
		if err := out.Write(got.body); err != nil {
			got.close(target.Dropped)
			return err
		}
	}
	if got.rest == nil {
		return nil
	}
	if err := work.Copy(got.rest, out, fault.TargetFailed); err != nil {
		got.close(target.Broken)
		return err
	}
	got.close(target.Answered)
	a.log.Info("relay: answer passed on", "id", a.call.ID, "route", a.route.Name, "sent", a.sent, "took", time.Since(a.call.Arrived))
	return nil
}

func (w whole) close(out target.Outcome) {
	if w.end != nil {
		w.end(out)
	}
}

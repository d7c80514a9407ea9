package turns

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	// maxSends bounds how many replicas a turn is sent to.
	maxSends = 4
	// retryAfter is the Retry-After delay for a turn that no replica accepts.
	retryAfter = 200 * time.Millisecond
	// silenceThreshold is how long a replica may send nothing before a failed turn counts against the replica
	// although the caller has left.
	silenceThreshold = 1500 * time.Millisecond
	// minRetryTime is the least time before the deadline at which another replica is still tried.
	minRetryTime = 30 * time.Millisecond
	// logUnavailableAfter is how long an append may be pending before the log counts as unavailable.
	logUnavailableAfter = 600 * time.Millisecond
	// maxFailures is the number of consecutive failed attempts of one turn that a program can have; one more
	// failure ends the program.
	maxFailures = 2
	// minTimeAfterRetry is the time that must remain before the deadline when the caller of a postponed turn
	// retries. It allows for the turn itself and for a pause without events.
	minTimeAfterRetry = 2500 * time.Millisecond
	// retryDelayDivisor is the part of its remaining time that a caller waits at most before a retry: a
	// third.
	retryDelayDivisor = 3
	// lastEventHeader makes a replica resume after the given event.
	lastEventHeader = "Last-Event-Id"
)

// Sender sends a call to a replica; see relay.Sender.
type Sender interface {
	Send(ctx context.Context, lease *target.Lease, call *work.Call, left time.Duration) (work.Reply, error)
}

// Targets selects replicas.
type Targets interface {
	// Admit decides whether the program of a turn may start.
	Admit(ask target.CallRequest) sched.AdmissionDecision
	// Take selects a replica and reserves capacity on it.
	Take(ask target.CallRequest) (*target.Lease, error)
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Runner runs turns on slots that this box owns.
type Runner struct {
	targets Targets
	sender  Sender
	counts  Counts
	log     *slog.Logger
	// maxTextBytes is the number of bytes of a turn's text that fit into one log record. It falls if the log rejects records
	// that the settings allow.
	maxTextBytes atomic.Int64
	// memory bounds the long prompts in progress, and what is kept of answers until they end.
	memory *memory.Budgets
}

// New returns a Runner. recordBytes is the largest record that the log accepts.
func New(targets Targets, sender Sender, recordBytes int, budgets *memory.Budgets, counts Counts, log *slog.Logger) *Runner {
	r := &Runner{targets: targets, sender: sender, counts: counts, log: log, memory: budgets}
	r.maxTextBytes.Store(int64(recordBytes - recordSpare))
	return r
}

// turn is the state of one turn in progress.
type turn struct {
	*Runner
	slot   *shard.Slot
	call   *work.Call
	route  *work.Route
	open   chain.OpenTurn
	ledger ledger
	// input is what the caller sent; prompt is the program's history followed by input.
	input, prompt []byte
	// reservedBytes is what the prompt takes of the memory for prompts.
	reservedBytes int64
	// cachedTokens is how many tokens of the history each replica holds, by work.Replica.RunID.
	cachedTokens map[string]int
	// started is the pending write of the record that reserves the turn's tokens, which must be in the log
	// before any of the answer is sent to the caller; nil if the turn needs no such record or the log holds
	// it.
	started *shard.PendingWrite
	// firstTurn is set for the first turn of a program that continues no stored turn. failures counts the consecutive failed attempts of this
	// turn.
	firstTurn bool
	failures  int
	// mayHaveRun is set once a replica may have run the turn. ended is set once the end of the turn has been
	// accounted for.
	mayHaveRun, ended bool
	// lease is the lease of the latest attempt; an empty lease before the first attempt.
	lease *target.Lease
	// sent counts the replicas that the turn was sent to, runs those that may have run it.
	sent, runs int
	// unframed is work.Head.Unframed of the latest answer.
	unframed bool
	// answer forwards the answer to the caller.
	answer *answerWriter
	// firstEventLatency is the time from the turn's arrival to the first bytes sent to the caller.
	firstEventLatency time.Duration
	// sentAt is when the turn was sent to the lease's replica.
	sentAt time.Time
	// lastReceived is since when more data of the replica is awaited: when its latest data had been written to the
	// caller, or sentAt if it has sent none.
	lastReceived time.Time
}

// Run runs the turn on the slot. It returns nil after a complete answer, which the log holds if the route is
// stateful; a fault with NotRun if the turn has not run and will not; and any other fault if it may have run.
func (r *Runner) Run(ctx context.Context, slot *shard.Slot, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	t := &turn{Runner: r, slot: slot, call: call, route: route, input: call.Body, lease: &target.Lease{}}
	t.open = chain.OpenTurn{
		ID: call.QualifiedName(call.ID), Program: call.QualifiedName(call.Turn.Program), Previous: call.QualifiedName(call.Turn.Previous), MaxTokens: maxAnswerTokens(call), Retention: route.Retention, Deadline: call.Deadline, MaxText: int(r.maxTextBytes.Load()),
	}
	t.answer = newAnswerWriter(t, out)
	t.ledger = newLedger(t)
	defer t.releaseMemory()
	if err := slot.BeginTurn(t.enter); err != nil {
		return t.keepProgram(ctx, err)
	}
	err := slot.AwaitOwnership(ctx)
	if err == nil {
		err = t.run(ctx)
	}
	if err != nil && !t.ended {
		t.abandon(ctx, err)
	}
	t.slot.Update(func(state *chain.State) { t.recordResult(state, err) })
	return t.keepProgram(ctx, err)
}

// keepProgram keeps what the program has spent for its retention from now on, when the turn ends with err. A refusal since the
// budget is spent ends the program, and only goes out once the log holds that; otherwise the caller is to come again.
func (t *turn) keepProgram(ctx context.Context, err error) error {
	if fault.Is(err, fault.NotOwner) {
		return err
	}
	var pending *shard.PendingWrite
	t.slot.Update(func(state *chain.State) {
		if recs := state.Renew(time.Now(), t.open); len(recs) > 0 {
			pending = t.slot.QueueLocked(recs)
		} else if fault.Is(err, fault.BudgetSpent) {
			pending = t.slot.BarrierLocked() // the record of an earlier refusal may be queued
		}
	})
	if pending == nil || !fault.Is(err, fault.BudgetSpent) {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, logUnavailableAfter)
	defer stop()
	if cause := pending.Wait(ctx); cause != nil {
		return fault.Refuse(fault.LogUnavailable, "the log did not confirm the end of the program").WithRetryAfter(retryAfter).WithCause(cause)
	}
	return err
}

// recordResult updates the count of consecutive failed attempts of the turn.
func (t *turn) recordResult(state *chain.State, err error) {
	switch {
	case err == nil:
		state.ResetFailures(t.open)
	case t.mayHaveRun:
		state.CountFailure(t.open)
	}
}

// enter starts the turn in the slot's state. A new program that would not finish in time is refused before
// any record of it is written.
func (t *turn) enter(state *chain.State) error {
	// A program that continues a turn of another one, as a sub-agent does, is part of work that has begun.
	t.firstTurn = t.open.Previous == "" && !state.HasStarted(t.open.Program)
	t.failures = state.FailureCount(t.open)
	if err := t.admit(); err != nil {
		return err
	}
	return t.ledger.enter(state)
}

// admit asks the targets whether a new program may start. Turns of running programs are always admitted.
func (t *turn) admit() error {
	if !t.firstTurn || t.call.Prompt == nil {
		return nil
	}
	decision := t.targets.Admit(t.ask(nil))
	if !decision.Refuse {
		return nil
	}
	t.log.Info("turns: program not begun", "id", t.call.ID, "program", t.call.Turn.Program, "route", t.route.Name, "left", t.call.Turn.Left, "reason", string(decision.Reason),
		"stretch", decision.Slowdown, "taken", decision.Utilization, "retry_after", decision.RetryAfter, "reserved", decision.Reserved)
	t.counts.Count("turns.not_begun", 1)
	t.counts.Count("turns.not_begun_"+string(decision.Reason), 1)
	return fault.Refuse(fault.Overloaded, "a new program would not finish in time").WithRetryAfter(decision.RetryAfter)
}

// maxAnswerTokens returns the most tokens that the call's answer may have, zero without a prompt.
func maxAnswerTokens(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Most
}

// abandon logs and ends a turn that has no complete answer.
func (t *turn) abandon(ctx context.Context, err error) {
	t.log.Info("turns: turn failed", "id", t.call.ID, "request", t.call.Request, "program", t.call.Turn.Program, "route", t.route.Name, "slot", t.slot.Number(), "ran", t.mayHaveRun,
		"replica", t.lease.Replica.ID, "sent", t.sent, "caller_gone", ctx.Err() == context.Canceled, "after", time.Since(t.call.Arrived),
		"framed", !t.unframed, "kind", fault.From(err).Kind, "cause", err)
	t.counts.Count("turns.failed", 1)
	t.ledger.abort()
}

// run sends the turn to one replica after another until one has answered it.
func (t *turn) run(ctx context.Context) error {
	if err := t.postpone(); err != nil {
		return err
	}
	var avoid []string
	var last error
	for range maxSends {
		lease, err := t.targets.Take(t.ask(avoid))
		if !t.mayHaveRun && target.RefusesRequest(err) {
			return err
		}
		if err != nil {
			last = err
			break
		}
		t.lease = lease
		avoid = append(avoid, lease.Replica.ID)
		err = t.attempt(ctx)
		if err == nil {
			return nil
		}
		last = err
		if t.mayHaveRun && !t.canResume(ctx, err) {
			if !fault.From(err).NotRun {
				return err
			}
			break // an earlier replica may have run the turn
		}
		if ctx.Err() != nil {
			break
		}
	}
	if t.mayHaveRun {
		return fault.Fail(fault.TargetFailed, "no replica resumed the turn").WithCause(last)
	}
	t.counts.Count("turns.no_replica", 1)
	return fault.Refuse(fault.Overloaded, "no replica accepted the turn").WithRetryAfter(retryAfter).WithCause(last)
}

// postpone refuses a turn while the log is unavailable if one more failure would end the program and the
// caller has enough time to retry. Turns with fewer failed attempts wait for the log instead.
func (t *turn) postpone() error {
	if t.failures < maxFailures || !t.ledger.needsLog() || t.slot.AppendAge() < logUnavailableAfter {
		return nil
	}
	left := time.Until(t.call.Deadline)
	after := left / retryDelayDivisor
	if left-after < minTimeAfterRetry {
		return nil
	}
	t.counts.Count("turns.postponed", 1)
	return fault.Refuse(fault.LogUnavailable, "the log is unavailable").WithRetryAfter(after)
}

// ask returns the placement request for the turn; avoid lists the replicas already tried.
func (t *turn) ask(avoid []string) target.CallRequest {
	return target.CallRequest{
		Request: t.call.Request, WorkKind: t.route.Name, Services: t.route.Splits, Regions: t.call.Regions, Exclude: avoid, Prompt: t.call.Prompt, CachedTokens: t.cachedTokens,
		Turn: sched.Turn{
			Program: t.open.Program, Kind: t.route.Name, NewProgram: t.firstTurn, Priority: t.route.Priority, TimeLeft: t.call.Turn.Left,
			Arrived: t.call.Arrived, RetryWithin: time.Until(t.call.Deadline) / retryDelayDivisor,
		},
	}
}

// canResume reports whether another replica may continue the turn after err.
func (t *turn) canResume(ctx context.Context, err error) bool {
	if !t.route.Resumable || t.ended || t.answer.full || t.runs >= t.route.Attempts {
		return false
	}
	if ctx.Err() != nil || time.Until(t.call.Deadline) < minRetryTime {
		return false
	}
	if t.answer.begun && t.answer.collected.lastID == "" {
		return false // without event IDs, no replica can resume after the last event
	}
	return fault.From(err).NotRun || fault.Is(err, fault.TargetFailed) || fault.Is(err, fault.Protocol)
}

// attempt sends the turn to the lease's replica and forwards its answer.
func (t *turn) attempt(ctx context.Context) error {
	replicaCtx, stop := t.lease.CancelOnRestart(ctx)
	defer stop()
	reply, err := t.send(ctx, replicaCtx)
	if err != nil {
		return err
	}
	return t.forwardReply(ctx, reply)
}

// send sends the turn to the lease's replica; replicaCtx also ends when that replica restarts.
func (t *turn) send(ctx, replicaCtx context.Context) (work.Reply, error) {
	t.sent++
	call := *t.call
	call.Body, call.MayHaveRun = t.prompt, t.mayHaveRun
	if t.answer.begun {
		call.Header = t.resumeHeader(call.Header)
	}
	t.sentAt = time.Now()
	t.lastReceived = t.sentAt
	reply, err := t.sender.Send(replicaCtx, t.lease, &call, time.Until(call.Deadline))
	if err != nil {
		t.countRun(!fault.From(err).NotRun)
		t.lease.Unbroken = fault.Is(err, fault.Protocol)
		t.lease.Done(t.errorOutcome(ctx, err), 0)
		return reply, err
	}
	if reply.NotRun {
		reply.Body.Close()
		t.lease.Done(target.Refused, 0)
		t.counts.Count("turns.replica_refused", 1)
		return reply, fault.Refuse(fault.Overloaded, "the replica did not run the turn")
	}
	t.countRun(true)
	return reply.CheckEvents(t.route.Kind), nil
}

// resumeHeader returns a copy of header that asks the replica to resume after the last event sent to the
// caller.
func (t *turn) resumeHeader(header http.Header) http.Header {
	out := http.Header{}
	maps.Copy(out, header)
	out.Set(lastEventHeader, t.answer.collected.lastID)
	t.counts.Count("turns.resumed", 1)
	t.log.Info("turns: resuming turn on another replica", "id", t.call.ID, "replica", t.lease.Replica.ID, "behind", t.answer.collected.lastID)
	return out
}

// countRun counts the attempt as a run if the replica may have run the turn.
func (t *turn) countRun(ran bool) {
	if ran {
		t.mayHaveRun = true
		t.runs++
	}
}

// errorOutcome returns the outcome to report for the replica after a missing or incomplete answer.
func (t *turn) errorOutcome(ctx context.Context, err error) target.Outcome {
	switch {
	case fault.From(err).NotRun:
		return target.NotSentOutcome(err)
	case fault.Is(err, fault.CallerGone), fault.Is(err, fault.TooLarge):
		return target.Abandoned
	case ctx.Err() == nil:
		return target.Incomplete
	case time.Since(t.lastReceived) >= silenceThreshold:
		return target.Unresponsive
	default:
		return target.Abandoned
	}
}

// awaitStart waits until the log holds the record that reserves the turn's tokens. The record is not
// forwarded to another owner, since only the owner that wrote it has checked it against the budget.
func (t *turn) awaitStart(ctx context.Context) error {
	if t.started == nil {
		return nil
	}
	resume := t.lease.HoldResponse()
	defer resume()
	if err := t.started.Wait(ctx); err != nil {
		return fault.Fail(fault.LogUnavailable, "the log did not confirm the turn's start").WithCause(err)
	}
	t.started = nil
	t.ledger.onStartLogged()
	return nil
}

// answerTokens returns the number of tokens in an answer with the given number of events. If the route's
// stride is not known, it returns the turn's maximum.
func (t *turn) answerTokens(events int) int {
	if t.route.Stride == 0 {
		return t.open.MaxTokens
	}
	return events * t.route.Stride
}

// promptTokens returns the length of the call's prompt in tokens; zero if it is not known.
func promptTokens(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Tokens
}

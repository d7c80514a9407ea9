package turns

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	// maxSends bounds the replicas that a turn is offered to.
	maxSends = 4
	// retryAfter is the advice given when no replica takes a turn.
	retryAfter = 200 * time.Millisecond
	// silentAfter is the time without a word from which a replica is blamed even though the
	// caller has left: pauses of a busy replica are a tenth of it.
	silentAfter = 1500 * time.Millisecond
	// worthTrying is the least time left in which another replica can still take a turn up.
	worthTrying = 30 * time.Millisecond
	// logAway is how long the log may leave an append unanswered before it counts as away: twice what
	// it takes where it is sixty times slower than usual.
	logAway = 600 * time.Millisecond
	// lastTry is the number of failed tries from which a program of the platform bears no more.
	lastTry = 2
	// stayFor is the time that a caller must have left for its turn when it comes again: a silence
	// that callers bear, and a turn.
	stayFor = 2500 * time.Millisecond
	// comeShare is the part of its time, one in so many, after which a caller is asked to come again:
	// the longest that callers of the platform wait.
	comeShare = 3
	// lastEvent is the header that has a replica go on behind an event.
	lastEvent = "Last-Event-Id"
)

// Sender hands a call to a replica; see relay.Sender.
type Sender interface {
	Send(ctx context.Context, lease *target.Lease, call *work.Call, left time.Duration) (work.Reply, error)
}

// Targets chooses replicas.
type Targets interface {
	// Admit decides whether the program of a turn may begin.
	Admit(ask target.Ask) sched.Verdict
	Take(ask target.Ask) (*target.Lease, error)
}

// Counts takes figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Runner runs turns.
type Runner struct {
	targets Targets
	sender  Sender
	counts  Counts
	log     *slog.Logger
	// mostText bounds the text of one turn, in bytes: it is one record of the log.
	mostText int
}

// New makes a runner. The log takes records of so many bytes at most.
func New(targets Targets, sender Sender, recordBytes int, counts Counts, log *slog.Logger) *Runner {
	return &Runner{targets: targets, sender: sender, counts: counts, log: log, mostText: recordBytes - recordSpare}
}

// turn is the state of one turn under way.
type turn struct {
	*Runner
	slot   *shard.Slot
	call   *work.Call
	route  *work.Route
	open   chain.Open
	ledger ledger
	// input is what the caller sent; prompt the whole chain with it.
	input, prompt []byte
	// seen is what replicas keep of the chain, in tokens.
	seen map[string]int
	// started is the record that must be in the log before anything is handed out; nil if the
	// log holds it already.
	started *shard.Pending
	// fresh says that the turn is its program's first, failures how many tries of it have failed.
	fresh    bool
	failures int
	// ran says that a replica may have run the turn; ended that the state counts it as over.
	ran, ended bool
	// lease is the newest place at a replica; empty before there was one.
	lease *target.Lease
	// sent counts the replicas that the turn was offered to, runs those that may have run it.
	sent, runs int
	// tap is the answer on its way to the caller.
	tap   *tap
	first time.Duration
	// offered is when the turn was sent to the replica of the lease.
	offered time.Time
	// heard is when the replica last said something, or when the turn was sent to it.
	heard time.Time
}

// Run runs the turn on the slot. It returns nil after a whole answer that the log holds, where
// the route keeps turns; a fault with NotRun if the turn has not run and won't; any other fault
// if it may have.
func (r *Runner) Run(ctx context.Context, slot *shard.Slot, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	t := &turn{Runner: r, slot: slot, call: call, route: route, input: call.Body, lease: &target.Lease{}}
	t.open = chain.Open{
		ID: call.Own(call.ID), Program: call.Own(call.Turn.Program), Previous: call.Own(call.Turn.Previous), Most: most(call), Retention: route.Retention,
	}
	t.tap = &tap{turn: t, Answer: out}
	t.ledger = newLedger(t)
	if err := slot.Enter(t.enter); err != nil {
		return err
	}
	err := t.run(ctx)
	if err != nil && !t.ended {
		t.abandon(ctx, err)
	}
	t.slot.Change(func(state *chain.State) { t.tally(state, err) })
	return err
}

// tally counts the turn's tries that failed one after the other.
func (t *turn) tally(state *chain.State, err error) {
	switch {
	case err == nil:
		state.Pass(t.open)
	case t.ran:
		state.Fail(t.open)
	}
}

// enter begins the turn at its program's ledger. A program that has not begun is refused where it
// would not end in time, before anything is written of it.
func (t *turn) enter(state *chain.State) error {
	t.fresh = !state.Begun(t.open.Program)
	t.failures = state.Failures(t.open)
	if err := t.admit(); err != nil {
		return err
	}
	return t.ledger.enter(state)
}

func (t *turn) admit() error {
	if !t.fresh || t.call.Prompt == nil {
		return nil
	}
	verdict := t.targets.Admit(t.ask(nil))
	if !verdict.Refuse {
		return nil
	}
	t.log.Info("turns: program not begun", "id", t.call.ID, "program", t.call.Turn.Program, "route", t.route.Name, "left", t.call.Turn.Left,
		"stretch", verdict.Stretch, "taken", verdict.Taken, "retry_after", verdict.After)
	t.counts.Count("turns.not_begun", 1)
	return fault.Refuse(fault.Overloaded, "no programs are begun now that would not end in time").After(verdict.After)
}

// most is the tokens that the call's answer may hold.
func most(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Most
}

// abandon ends a turn without a whole answer.
func (t *turn) abandon(ctx context.Context, err error) {
	t.log.Info("turns: turn failed", "id", t.call.ID, "program", t.call.Turn.Program, "route", t.route.Name, "slot", t.slot.Number(), "ran", t.ran,
		"replica", t.lease.Replica.ID, "sent", t.sent, "caller_gone", ctx.Err() == context.Canceled, "after", time.Since(t.call.Arrived), "kind", fault.From(err).Kind, "cause", err)
	t.counts.Count("turns.failed", 1)
	t.ledger.abort()
}

// run offers the turn to replicas until one has answered it.
func (t *turn) run(ctx context.Context) error {
	if err := t.postpone(); err != nil {
		return err
	}
	var avoid []string
	var last error
	for range maxSends {
		lease, err := t.targets.Take(t.ask(avoid))
		if err != nil {
			last = err
			break
		}
		t.lease = lease
		avoid = append(avoid, lease.Replica.ID)
		err = t.attempt(ctx)
		if err == nil || (t.ran && !t.resumes(ctx, err)) {
			return err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	if t.ran {
		return fault.Fail(fault.TargetFailed, "no replica took the turn up again").Because(last)
	}
	t.counts.Count("turns.no_replica", 1)
	return fault.Refuse(fault.Overloaded, "no replica took the turn").After(retryAfter).Because(last)
}

// postpone refuses the last try of a turn that needs the log while that is away, if its caller has the
// time to come again and stay. A try is given up after two silent seconds, and the third that fails ends
// its program, so that an outage of seven seconds would; begun so late, the last try outlasts eight.
// Tries before it are held instead: most outages are shorter.
func (t *turn) postpone() error {
	if t.failures < lastTry || !t.ledger.needsLog() || t.slot.Behind() < logAway {
		return nil
	}
	left := time.Until(t.call.Deadline)
	after := left / comeShare
	if left-after < stayFor {
		return nil
	}
	t.counts.Count("turns.postponed", 1)
	return fault.Refuse(fault.LogUnavailable, "the log is away").After(after)
}

// ask is the turn as it is placed.
func (t *turn) ask(avoid []string) target.Ask {
	return target.Ask{
		Work: t.route.Name, Services: t.route.Splits, Regions: t.call.Regions, Avoid: avoid, Prompt: t.call.Prompt, Seen: t.seen,
		Turn: sched.Turn{
			Program: t.open.Program, Kind: t.route.Name, Fresh: t.fresh, Priority: t.route.Priority, Left: t.call.Turn.Left,
			Arrived: t.call.Arrived,
		},
	}
}

// resumes reports whether another replica may take the turn up where this one broke off.
func (t *turn) resumes(ctx context.Context, err error) bool {
	if !t.route.Resumable || t.ended || t.runs >= t.route.Attempts {
		return false
	}
	if ctx.Err() != nil || time.Until(t.call.Deadline) < worthTrying {
		return false
	}
	if t.tap.begun && t.tap.collected.last == "" {
		return false // its events have no ids to go on behind
	}
	return fault.From(err).NotRun || fault.Is(err, fault.TargetFailed) || fault.Is(err, fault.Protocol)
}

// attempt has the replica of the lease answer the turn.
func (t *turn) attempt(ctx context.Context) error {
	guarded, stop := t.lease.Guard(ctx)
	defer stop()
	reply, err := t.offer(ctx, guarded)
	if err != nil {
		return err
	}
	return t.pass(ctx, reply)
}

// offer sends the turn to the replica of the lease; guarded ends with that replica.
func (t *turn) offer(ctx, guarded context.Context) (work.Reply, error) {
	t.sent++
	call := *t.call
	call.Body = t.prompt
	if t.tap.begun {
		call.Header = t.behind(call.Header)
	}
	t.offered = time.Now()
	t.heard = t.offered
	reply, err := t.sender.Send(guarded, t.lease, &call, time.Until(call.Deadline))
	if err != nil {
		t.count(!fault.From(err).NotRun)
		t.lease.Done(t.outcome(ctx, err), 0)
		return reply, err
	}
	if reply.NotRun {
		reply.Body.Close()
		t.lease.Done(target.Refused, 0)
		t.counts.Count("turns.replica_refused", 1)
		return reply, fault.Refuse(fault.Overloaded, "the replica did not run the turn")
	}
	t.count(true)
	return reply, nil
}

// behind is the header with the word to go on behind the last event that the caller got.
func (t *turn) behind(header http.Header) http.Header {
	out := http.Header{}
	maps.Copy(out, header)
	out.Set(lastEvent, t.tap.collected.last)
	t.counts.Count("turns.resumed", 1)
	t.log.Info("turns: turn taken up again", "id", t.call.ID, "replica", t.lease.Replica.ID, "behind", t.tap.collected.last)
	return out
}

// count notes whether the replica may have run the turn.
func (t *turn) count(ran bool) {
	if ran {
		t.ran = true
		t.runs++
	}
}

// outcome is what an answer that did not come, or not whole, says of the replica.
func (t *turn) outcome(ctx context.Context, err error) target.Outcome {
	switch {
	case fault.From(err).NotRun:
		return target.Unreached
	case fault.Is(err, fault.CallerGone):
		return target.Dropped
	case ctx.Err() == nil:
		return target.Broken
	case time.Since(t.heard) >= silentAfter:
		return target.Silent
	default:
		return target.Dropped
	}
}

// awaitStart returns once the log holds what the turn may spend. A start goes to no other
// owner: only the one that wrote it has held it against the budget.
func (t *turn) awaitStart(ctx context.Context) error {
	if t.started == nil {
		return nil
	}
	if err := t.started.Wait(ctx); err != nil {
		return fault.Fail(fault.LogUnavailable, "the log does not hold the turn's start").Because(err)
	}
	t.started = nil
	t.ledger.logged()
	return nil
}

// spent is the tokens of an answer with so many events. Where the size of an event is not
// known, the turn counts at its most.
func (t *turn) spent(events int) int {
	if t.route.Stride == 0 {
		return t.open.Most
	}
	return events * t.route.Stride
}

// promptTokens is the length of the call's prompt, zero if it does not say.
func promptTokens(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Tokens
}

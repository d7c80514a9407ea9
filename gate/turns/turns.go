package turns

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
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
	// recordSpare is left in a record for the names beside a turn's text, and answerShare is the
	// part of it, one in so many, that a caller's input must leave to the answer.
	recordSpare = 1 << 10
	answerShare = 4
	// maxChain bounds the text of a chain, in bytes.
	maxChain = 16 << 20
)

// Sender hands a call to a replica; see relay.Sender.
type Sender interface {
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
	slot  *shard.Slot
	call  *work.Call
	route *work.Route
	open  chain.Open
	// input is what the caller sent; prompt the whole chain with it.
	input, prompt []byte
	// seen is what replicas keep of the chain, in tokens.
	seen map[string]int
	// started is the start record on its way to the log; nil if the log holds it already.
	started *shard.Pending
	// ran says that a replica may have run the turn; ended that the state counts it as over.
	ran, ended bool
	// lease is the newest place at a replica; empty before there was one.
	lease *target.Lease
	// sent counts the replicas that the turn was offered to.
	sent  int
	first time.Duration
	// heard is when the replica last said something, or when the turn was sent to it.
	heard time.Time
}

// Run runs the turn on the slot. It returns nil after a whole answer that the log holds; a
// fault with NotRun if the turn has not run and won't; any other fault if it may have.
func (r *Runner) Run(ctx context.Context, slot *shard.Slot, call *work.Call, route *work.Route, out work.Answer) error {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	t := &turn{Runner: r, slot: slot, call: call, route: route, input: call.Body, lease: &target.Lease{}}
	t.open = chain.Open{
		ID: call.ID, Program: call.Turn.Program, Previous: call.Turn.Previous, Most: most(call), Retention: route.Retention,
	}
	if len(t.input) > r.mostText-r.mostText/answerShare {
		return fault.Refuse(fault.TooLarge, "the log can't keep a turn of this length")
	}
	if err := slot.Enter(t.enter); err != nil {
		return err
	}
	err := t.run(ctx, out)
	if err != nil && !t.ended {
		t.abandon(ctx, err)
	}
	return err
}

// most is the tokens that the call's answer may hold.
func most(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Most
}

// enter checks the turn against the state and reserves its budget.
func (t *turn) enter(state *chain.State) error {
	var recs []work.Record
	line, err := state.Line(t.open.Program, t.open.Previous)
	if len(t.call.Turn.Base) > t.mostText {
		return fault.Refuse(fault.TooLarge, "the log can't keep a copy of a history of this length")
	}
	if fault.Is(err, fault.NoTurn) && t.call.Turn.Base != nil {
		recs = append(recs, state.Import(time.Now(), t.open.Program, t.open.Previous, t.call.Turn.Base, t.open.Retention))
		line, err = state.Line(t.open.Program, t.open.Previous)
	}
	if err != nil {
		return err
	}
	size := len(t.input)
	for _, before := range line {
		size += len(before.Text)
	}
	if size > maxChain {
		return fault.Refuse(fault.TooLarge, "the program's history is too long")
	}
	starts, err := state.Start(time.Now(), t.open, t.call.Turn.Budget)
	if err != nil {
		return err
	}
	recs = append(recs, starts...)
	t.prompt = make([]byte, 0, size)
	t.seen = map[string]int{}
	for _, before := range line {
		t.prompt = append(t.prompt, before.Text...)
		if before.Ran != "" {
			t.seen[before.Ran] = before.Cached
		}
	}
	t.prompt = append(t.prompt, t.input...)
	if len(recs) > 0 {
		t.started = t.slot.QueueLocked(recs)
	}
	return nil
}

// abandon ends a turn without a whole answer.
func (t *turn) abandon(ctx context.Context, err error) {
	t.log.Info("turns: turn failed", "id", t.call.ID, "program", t.open.Program, "slot", t.slot.Number(), "ran", t.ran,
		"replica", t.lease.Replica.ID, "sent", t.sent, "caller_gone", ctx.Err() == context.Canceled, "after", time.Since(t.call.Arrived), "cause", err)
	t.counts.Count("turns.failed", 1)
	if t.ran {
		t.slot.Change(func(state *chain.State) { state.Break(t.open) })
		return
	}
	t.slot.Change(func(state *chain.State) {
		if drops := state.Cancel(t.open); len(drops) > 0 {
			t.slot.QueueLocked(drops)
		}
	})
}

// run offers the turn to replicas until one runs it.
func (t *turn) run(ctx context.Context, out work.Answer) error {
	var avoid []string
	var last error
	for range maxSends {
		lease, err := t.targets.Take(target.Ask{
			Work: t.route.Name, Services: t.route.Splits, Avoid: avoid, Prompt: t.call.Prompt, Seen: t.seen,
		})
		if err != nil {
			last = err
			break
		}
		t.lease = lease
		avoid = append(avoid, lease.Replica.ID)
		reply, err := t.offer(ctx)
		if err == nil {
			return t.pass(ctx, reply, out)
		}
		if t.ran {
			return err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	t.counts.Count("turns.no_replica", 1)
	return fault.Refuse(fault.Overloaded, "no replica took the turn").After(retryAfter).Because(last)
}

// offer sends the turn to the replica of the lease.
func (t *turn) offer(ctx context.Context) (work.Reply, error) {
	t.sent++
	call := *t.call
	call.Body = t.prompt
	t.heard = time.Now()
	reply, err := t.sender.Send(ctx, t.lease, &call, time.Until(call.Deadline))
	if err != nil {
		t.ran = !fault.From(err).NotRun
		t.lease.Done(t.outcome(ctx, err), 0)
		return reply, err
	}
	if reply.NotRun {
		reply.Body.Close()
		t.lease.Done(target.Refused, 0)
		t.counts.Count("turns.replica_refused", 1)
		return reply, fault.Refuse(fault.Overloaded, "the replica did not run the turn")
	}
	t.ran = true
	return reply, nil
}

// outcome is what an answer that did not come, or not whole, says of the replica.
func (t *turn) outcome(ctx context.Context, err error) target.Outcome {
	switch {
	case !t.ran:
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

// pass hands the answer on as it comes, and ends it once the log holds it.
func (t *turn) pass(ctx context.Context, reply work.Reply, out work.Answer) error {
	defer reply.Body.Close()
	if err := t.awaitStart(ctx); err != nil {
		t.lease.Done(target.Dropped, 0)
		return err
	}
	if reply.Head.Status != http.StatusOK || !reply.Sound {
		return t.passFailure(reply, out)
	}
	collected := events{text: append([]byte(nil), t.input...)}
	begun := time.Now()
	if err := t.stream(ctx, reply, out, &collected); err != nil {
		t.lease.Done(t.outcome(ctx, err), 0)
		return err
	}
	gap := time.Duration(0)
	if collected.count > 1 {
		gap = time.Since(begun) / time.Duration(collected.count-1)
	}
	t.lease.Done(target.Answered, gap)
	return t.finish(ctx, collected)
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
	return nil
}

// passFailure hands on an answer that is no series of events.
func (t *turn) passFailure(reply work.Reply, out work.Answer) error {
	if reply.Head.Status < http.StatusMultipleChoices {
		t.lease.Done(target.Broken, 0)
		return fault.Fail(fault.Protocol, "the answer lacks the replica's proof of origin")
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxLine))
	if err != nil {
		t.lease.Done(target.Broken, 0)
		return fault.Fail(fault.TargetFailed, "the answer broke off").Because(err)
	}
	t.lease.Done(verdict(reply.Head.Status), 0)
	t.log.Info("turns: replica failed the turn", "id", t.call.ID, "replica", t.lease.Replica.ID, "status", reply.Head.Status)
	t.slot.Change(func(state *chain.State) { state.Break(t.open) })
	reply.Head.Length = int64(len(body))
	if err := out.Begin(reply.Head); err != nil {
		return nil
	}
	_ = out.Write(body) // the caller is gone; the turn has ended either way
	return nil
}

// verdict tells a replica's own failure from the caller's, and from a time that ran out.
func verdict(status int) target.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return target.Dropped
	case status >= http.StatusInternalServerError:
		return target.Failed
	default:
		return target.Answered
	}
}

// stream copies the answer until its end.
func (t *turn) stream(ctx context.Context, reply work.Reply, out work.Answer, collected *events) error {
	reply.Head.Length = -1
	err := work.Copy(reply.Body, &tap{turn: t, Answer: out, head: reply.Head, collected: collected}, fault.TargetFailed)
	if fault.Is(err, fault.TargetFailed) && ctx.Err() != nil {
		return fault.Fail(fault.TimedOut, "the turn's time ended before its answer").Because(err)
	}
	return err
}

// tap sees an answer on its way to the caller. The head goes out with the first bytes.
type tap struct {
	work.Answer
	turn      *turn
	head      work.Head
	collected *events
	begun     bool
}

// Write implements work.Answer.
func (p *tap) Write(data []byte) error {
	p.turn.heard = time.Now()
	if !p.begun {
		p.begun = true
		p.turn.first = time.Since(p.turn.call.Arrived)
		if err := p.Begin(p.head); err != nil {
			return err
		}
	}
	p.collected.write(data)
	return p.Answer.Write(data)
}

// spent is the tokens of an answer with so many events. Where the size of an event is not
// known, the turn counts at its most.
func (t *turn) spent(events int) int {
	if t.route.Stride == 0 {
		return t.open.Most
	}
	return events * t.route.Stride
}

// finish writes the turn to the log; the answer's end waits for it.
func (t *turn) finish(ctx context.Context, collected events) error {
	if len(collected.text) > t.mostText {
		return fault.Fail(fault.TooLarge, "the log can't keep an answer of this length")
	}
	tokens := t.spent(collected.count)
	var pending *shard.Pending
	t.slot.Change(func(state *chain.State) {
		made, recs := state.Finish(time.Now(), t.open, tokens, collected.text)
		made.Ran = t.lease.Replica.ID
		if t.call.Prompt != nil {
			made.Cached = t.call.Prompt.Tokens + tokens
		}
		pending = t.slot.QueueLocked(recs)
		t.ended = true
	})
	start := time.Now()
	if err := t.slot.Await(ctx, pending); err != nil {
		t.log.Warn("turns: end not confirmed", "id", t.call.ID, "program", t.open.Program, "slot", t.slot.Number(), "cause", err)
		t.counts.Count("turns.unconfirmed", 1)
		go t.free(context.Background(), pending) // it ends with the slot at the latest
		return fault.Fail(fault.LogUnavailable, "the log does not hold the answer").Because(err)
	}
	t.free(ctx, pending)
	t.counts.Time("turns.confirm_time", time.Since(start))
	t.counts.Time("turns.first_event{class="+t.route.Name+"}", t.first)
	t.log.Info("turns: turn answered", "id", t.call.ID, "program", t.open.Program, "slot", t.slot.Number(), "replica", t.lease.Replica.ID,
		"prompt", promptTokens(t.call), "cached", t.lease.Cached,
		"score", t.lease.Score, "among", t.lease.Among, "sent", t.sent, "events", collected.count, "first", t.first, "confirm", time.Since(start), "took", time.Since(t.call.Arrived))
	return nil
}

// free lets the program's next turn use what this one had reserved, once this owner has
// written the turn's end.
func (t *turn) free(ctx context.Context, end *shard.Pending) {
	if end.Wait(ctx) == nil {
		t.slot.Change(func(state *chain.State) { state.Free(t.open) })
	}
}

// promptTokens is the length of the call's prompt, zero if it does not say.
func promptTokens(call *work.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return call.Prompt.Tokens
}

package turns

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

const (
	// recordSpare is the space in a log record, in bytes, kept for the identifiers beside a turn's text.
	// answerDivisor sets the part of the text that the input must leave for the answer: 1/answerDivisor.
	recordSpare   = 1 << 10
	answerDivisor = 4
	// maxHistoryBytes bounds a prompt: the program's history and the new input.
	maxHistoryBytes = 16 << 20
	// defaultRetention is how long a program's spending is kept if its route sets no retention. It exceeds
	// the usual pause between two turns.
	defaultRetention = 2 * time.Minute
	// settleTimeout bounds the attempts to record the tokens that a turn has spent.
	settleTimeout = 10 * time.Second
)

// ledger charges a turn to its program's budget and decides what the log keeps of it.
type ledger interface {
	// enter checks the turn against the state and reserves its budget.
	enter(state *chain.State) error
	// needsLog reports whether the turn has to wait for the log.
	needsLog() bool
	// onStartLogged is called once the log holds the turn's start record.
	onStartLogged()
	// finish ends the turn after a complete answer.
	finish(ctx context.Context) error
	// abort ends the turn without a complete answer.
	abort()
}

// newLedger returns the ledger for the turn's route.
func newLedger(t *turn) ledger {
	if t.route.Stateful {
		return &statefulLedger{t}
	}
	if t.open.Retention <= 0 {
		t.open.Retention = defaultRetention
	}
	return &statelessLedger{t}
}

// statefulLedger is the ledger for stateful routes: the log stores every turn, and later turns continue from
// it.
type statefulLedger struct{ *turn }

func (t *statefulLedger) enter(state *chain.State) error {
	if len(t.input) > t.maxTextBytes-t.maxTextBytes/answerDivisor {
		return fault.Refuse(fault.TooLarge, "the turn is too long for a log record")
	}
	if len(t.call.Turn.Base) > t.maxTextBytes {
		return fault.Refuse(fault.TooLarge, "the history to copy is too long for a log record")
	}
	var recs []work.Record
	history, err := state.History(t.open.Program, t.open.Previous)
	if fault.Is(err, fault.NoTurn) && t.call.Turn.Base != nil {
		recs = append(recs, state.ImportCopy(time.Now(), t.open.Program, t.open.Previous, t.call.Turn.Base, t.open.Retention))
		history, err = state.History(t.open.Program, t.open.Previous)
	}
	if err != nil {
		return err
	}
	size := len(t.input)
	for _, before := range history {
		size += len(before.Text)
	}
	if size > maxHistoryBytes {
		return fault.Refuse(fault.TooLarge, "the program's history is too long")
	}
	starts, err := state.BeginStateful(time.Now(), t.open, t.call.Turn.Budget)
	if err != nil {
		return err
	}
	recs = append(recs, starts...)
	t.buildPrompt(history, size)
	if len(recs) > 0 {
		t.started = t.slot.QueueLocked(recs)
	}
	return nil
}

// buildPrompt assembles the prompt, of size bytes, from the history and the input.
func (t *statefulLedger) buildPrompt(history []*chain.Turn, size int) {
	t.prompt = make([]byte, 0, size)
	t.cachedTokens = map[string]int{}
	for _, before := range history {
		t.prompt = append(t.prompt, before.Text...)
		if before.RanOn != "" {
			t.cachedTokens[before.RanOn] = before.CachedTokens
		}
	}
	t.prompt = append(t.prompt, t.input...)
}

func (*statefulLedger) needsLog() bool { return true }

func (*statefulLedger) onStartLogged() {}

// finish writes the turn to the log and waits for it; only then is the answer complete for the caller.
func (t *statefulLedger) finish(ctx context.Context) error {
	text := append(append([]byte(nil), t.input...), t.answer.collected.text...)
	if len(text) > t.maxTextBytes {
		return fault.Fail(fault.TooLarge, "the turn with its answer is too long for a log record")
	}
	tokens := t.answerTokens(t.answer.collected.count)
	var pending *shard.PendingWrite
	t.slot.Update(func(state *chain.State) {
		finished, recs := state.Finish(time.Now(), t.open, tokens, text)
		finished.RanOn = t.lease.Replica.RunID()
		if t.call.Prompt != nil {
			finished.CachedTokens = t.call.Prompt.Tokens + tokens
		}
		pending = t.slot.QueueLocked(recs)
		t.ended = true
	})
	start := time.Now()
	if err := t.slot.WaitOrForward(ctx, pending); err != nil {
		t.log.Warn("turns: end of turn not confirmed by the log", "id", t.call.ID, "program", t.call.Turn.Program, "slot", t.slot.Number(), "cause", err)
		t.counts.Count("turns.unconfirmed", 1)
		go t.releaseReservation(context.Background(), pending) // returns at the latest when the slot is given up
		return fault.Fail(fault.LogUnavailable, "the log did not confirm the answer").WithCause(err)
	}
	t.releaseReservation(ctx, pending)
	t.counts.Time("turns.confirm_time", time.Since(start))
	t.answered(time.Since(start))
	return nil
}

// releaseReservation lets the program's next turn use the tokens that this one had reserved, once this owner
// has written the turn's end to the log.
func (t *statefulLedger) releaseReservation(ctx context.Context, end *shard.PendingWrite) {
	if end.Wait(ctx) == nil {
		t.slot.Update(func(state *chain.State) { state.FreeReservation(t.open) })
	}
}

func (t *statefulLedger) abort() {
	t.slot.Update(func(state *chain.State) {
		if t.mayHaveRun {
			state.Abort(t.open)
			return
		}
		if drops := state.Cancel(t.open); len(drops) > 0 {
			t.slot.QueueLocked(drops)
		}
	})
}

// statelessLedger is the ledger for turns that carry their own history. The log holds a token grant for
// several turns of a program, written in advance, so that most turns neither wait for the log nor need it.
type statelessLedger struct{ *turn }

func (t *statelessLedger) enter(state *chain.State) error {
	recs, err := state.BeginStateless(time.Now(), t.open, t.call.Turn.Budget)
	if err != nil {
		return err
	}
	t.prompt = t.input
	if len(recs) > 0 {
		t.started = t.slot.QueueLocked(recs)
		t.open.GrantedTokens = state.GrantedTokens(t.open.Program)
	}
	return nil
}

func (t *statelessLedger) needsLog() bool { return t.started != nil }

func (t *statelessLedger) onStartLogged() {
	t.slot.Update(func(state *chain.State) { state.ConfirmGrant(t.open.Program, t.open.GrantedTokens) })
}

// finish charges the answer's tokens without waiting for the log.
func (t *statelessLedger) finish(context.Context) error {
	t.ended = true
	t.charge()
	t.answered(0)
	return nil
}

func (t *statelessLedger) abort() {
	t.charge()
}

// charge counts the tokens sent to the caller, also for an incomplete answer, and frees the rest of the
// reservation.
func (t *statelessLedger) charge() {
	tokens := 0
	if t.answer.begun {
		tokens = min(t.answerTokens(t.answer.collected.started()), t.open.MaxTokens)
	}
	var pending *shard.PendingWrite
	t.slot.Update(func(state *chain.State) {
		if recs := state.EndStateless(t.open, tokens); len(recs) > 0 {
			pending = t.slot.QueueLocked(recs)
		}
	})
	if pending != nil {
		go t.awaitSettlement(pending)
	}
}

// awaitSettlement waits until the log holds what the turn has spent, if need be by way of the slot's next
// owner, which otherwise counts the turn's maximum.
func (t *statelessLedger) awaitSettlement(pending *shard.PendingWrite) {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	if err := t.slot.WaitOrForward(ctx, pending); err != nil {
		t.log.Info("turns: tokens spent not logged, the next owner counts the turn's maximum", "id", t.call.ID, "program", t.call.Turn.Program, "slot", t.slot.Number(), "cause", err)
	}
}

// answered logs and measures a complete answer; confirm is how long its end waited for the log.
func (t *turn) answered(confirm time.Duration) {
	t.counts.Time("turns.first_event{class="+t.route.Name+"}", t.firstEventLatency)
	t.log.Info("turns: turn answered", "id", t.call.ID, "program", t.call.Turn.Program, "route", t.route.Name, "slot", t.slot.Number(),
		"replica", t.lease.Replica.ID, "prompt", promptTokens(t.call), "cached", t.lease.Cached, "score", t.lease.ExpectedCost, "among", t.lease.Candidates,
		"sent", t.sent, "placed", t.sentAt.Sub(t.call.Arrived), "events", t.answer.collected.count, "first", t.firstEventLatency, "confirm", confirm, "took", time.Since(t.call.Arrived))
}

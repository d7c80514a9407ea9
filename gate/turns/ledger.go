package turns

import (
	"context"
	"slices"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

const (
	// recordSpare is the number of bytes of a log record that are reserved for the identifiers of a turn.
	recordSpare = 1 << 10
	// maxHistoryBytes bounds a chain: the program's history, the new input and its answer.
	maxHistoryBytes = 16 << 20
	// defaultRetention is how long the token count of a program is kept if its route sets no retention. It
	// exceeds the usual pause between two turns.
	defaultRetention = 2 * time.Minute
	// settleTimeout bounds the attempts to record the tokens that a turn has spent.
	settleTimeout = 10 * time.Second
)

// ledger charges a turn to its program's budget and writes the turn's records to the log.
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
// the stored ones.
type statefulLedger struct{ *turn }

// enter changes the state only once nothing can refuse the turn any more: what it leaves behind is in the log or queued.
func (l *statefulLedger) enter(state *chain.State) error {
	history, err := state.History(l.open.Program, l.open.Previous)
	base := l.call.Turn.Base
	importing := fault.Is(err, fault.NoTurn) && base != nil
	if err != nil && !importing {
		return err
	}
	if importing {
		history = []*chain.Turn{{Text: base}}
	}
	size := len(l.input)
	for _, earlier := range history {
		size += len(earlier.Text)
	}
	if size > maxHistoryBytes {
		return fault.Refuse(fault.TooLarge, "the program's history is too long")
	}
	if err := l.reserveMemory(size); err != nil {
		return err
	}
	now := time.Now()
	starts, err := state.BeginStateful(now, l.open, l.call.Turn.Budget)
	if err != nil {
		return err
	}
	var recs []work.Record
	if importing {
		recs = state.ImportCopy(now, l.open, base)
	}
	recs = append(recs, starts...)
	l.buildPrompt(history, size)
	l.answer.maxText = maxHistoryBytes - size
	if len(recs) > 0 {
		l.started = l.slot.QueueLocked(recs)
	}
	return nil
}

const (
	// longPrompt is the length in bytes from which prompts count against the memory for prompts.
	longPrompt = 64 << 10
	// memoryRetryDelay is the Retry-After delay of a turn for which there is no memory.
	memoryRetryDelay = 400 * time.Millisecond
)

// reserveMemory reserves the memory for a prompt of that size until the turn ends. A single prompt always has room.
func (t *turn) reserveMemory(size int) error {
	if size < longPrompt {
		return nil
	}
	taken := min(int64(size), t.memory.Prompts.Limit())
	if !t.memory.Prompts.Reserve(taken) {
		t.counts.Count("turns.no_memory", 1)
		return fault.Refuse(fault.Overloaded, "too many long prompts are in progress").WithRetryAfter(memoryRetryDelay)
	}
	t.reservedBytes = taken
	return nil
}

// releaseMemory releases the memory of the turn's prompt and answer.
func (t *turn) releaseMemory() {
	t.memory.Prompts.Release(t.reservedBytes)
	t.reservedBytes = 0
	t.answer.share.Release()
}

// buildPrompt assembles the prompt, of size bytes, from the history and the input.
func (l *statefulLedger) buildPrompt(history []*chain.Turn, size int) {
	l.prompt = make([]byte, 0, size)
	l.cachedTokens = map[string]int{}
	for _, earlier := range history {
		l.prompt = append(l.prompt, earlier.Text...)
		if earlier.ReplicaRun != "" {
			l.cachedTokens[earlier.ReplicaRun] = earlier.CachedTokens
		}
	}
	l.prompt = append(l.prompt, l.input...)
}

func (*statefulLedger) needsLog() bool { return true }

func (*statefulLedger) onStartLogged() {}

// finish writes the turn to the log and waits for the confirmation. Until then, the answer does not count as
// complete for the caller.
func (l *statefulLedger) finish(ctx context.Context) error {
	text := slices.Concat(l.input, l.answer.collected.text)
	pending := l.store((*chain.State).Finish, text)
	start := time.Now()
	err := l.slot.WaitOrForward(ctx, pending)
	for fault.Is(err, fault.LogRejected) && l.shortenParts(len(text)) {
		pending = l.store((*chain.State).StoreAgain, text)
		if err = l.slot.WaitOrForward(ctx, pending); err == nil {
			l.recordMaxText()
		}
	}
	if err == nil {
		err = l.checkHistory()
	}
	if fault.Is(err, fault.LogRejected) {
		l.slot.Update(func(state *chain.State) {
			if recs := state.Unfinish(time.Now(), l.open); len(recs) > 0 {
				l.slot.QueueLocked(recs)
			}
		})
	}
	if err != nil {
		l.log.Warn("turns: end of turn not confirmed by the log", "id", l.call.ID, "program", l.call.Turn.Program, "slot", l.slot.Number(), "cause", err)
		l.counts.Count("turns.unconfirmed", 1)
		go l.releaseReservation(context.Background(), pending) // returns at the latest when this box releases or loses the slot
		return fault.Fail(fault.LogUnavailable, "the log did not confirm the answer").WithCause(err)
	}
	l.releaseReservation(ctx, pending)
	l.counts.Time("turns.confirm_time", time.Since(start))
	l.answered(time.Since(start))
	return nil
}

// checkHistory reports whether the log holds what the turn goes on from, once it holds the turn: both were written in their
// order, and a slot discards what the log rejects.
func (l *statefulLedger) checkHistory() error {
	var err error
	l.slot.Update(func(state *chain.State) {
		if state.HasTurn(l.open.Program, l.open.ID) {
			_, err = state.History(l.open.Program, l.open.Previous)
		}
	})
	return err
}

// storeFunc is chain.State.Finish or StoreAgain.
type storeFunc func(state *chain.State, now time.Time, o chain.OpenTurn, tokens int, text []byte) (*chain.Turn, []work.Record)

// store stores the answered turn in the slot's state and queues its records.
func (l *statefulLedger) store(as storeFunc, text []byte) *shard.PendingWrite {
	tokens := l.answerTokens(l.answer.collected.count)
	var pending *shard.PendingWrite
	l.slot.Update(func(state *chain.State) {
		finished, recs := as(state, time.Now(), l.open, tokens, text)
		finished.ReplicaRun = l.lease.Replica.RunID()
		if l.call.Prompt != nil {
			finished.CachedTokens = l.call.Prompt.Tokens + tokens
		}
		pending = l.slot.QueueLocked(recs)
		l.ended = true
	})
	return pending
}

const (
	// minTextBytes is the length in bytes up to which texts are not split further, and textDivisor how much shorter their
	// parts become if the log rejects them.
	minTextBytes = 4 << 10
	textDivisor  = 4
)

// shortenParts makes the parts of this turn's text shorter, since the log has rejected one. It returns false if that
// changes nothing for a text of the given length.
func (l *statefulLedger) shortenParts(length int) bool {
	longest := min(l.open.MaxText, length)
	shorter := max(longest/textDivisor, minTextBytes)
	if shorter >= longest {
		return false
	}
	l.open.MaxText = shorter
	return true
}

// recordMaxText makes later turns use the parts that the log has taken.
func (l *statefulLedger) recordMaxText() {
	l.maxTextBytes.Store(min(l.maxTextBytes.Load(), int64(l.open.MaxText)))
	l.log.Warn("turns: the log takes only shorter records than the settings say", "id", l.call.ID, "bytes", l.open.MaxText)
}

// releaseReservation makes the tokens that this turn had reserved available to the program's next turn, once
// this owner has written the turn's end to the log.
func (l *statefulLedger) releaseReservation(ctx context.Context, end *shard.PendingWrite) {
	if end.Wait(ctx) == nil {
		l.slot.Update(func(state *chain.State) { state.FreeReservation(l.open) })
	}
}

func (l *statefulLedger) abort() {
	l.slot.Update(func(state *chain.State) {
		if l.mayHaveRun {
			state.Abort(l.open)
			return
		}
		if drops := state.Cancel(l.open); len(drops) > 0 {
			l.slot.QueueLocked(drops)
		}
	})
}

// statelessLedger is the ledger for turns that carry their own history. The log holds a token grant that
// covers several turns of a program, so that most turns do not wait for the log.
type statelessLedger struct{ *turn }

func (l *statelessLedger) enter(state *chain.State) error {
	recs, err := state.BeginStateless(time.Now(), l.open, l.call.Turn.Budget)
	if err != nil {
		return err
	}
	l.prompt = l.input
	if len(recs) > 0 {
		l.started = l.slot.QueueLocked(recs)
		l.open.GrantedTokens = state.GrantedTokens(l.open.Program)
	}
	return nil
}

func (l *statelessLedger) needsLog() bool { return l.started != nil }

func (l *statelessLedger) onStartLogged() {
	l.slot.Update(func(state *chain.State) { state.ConfirmGrant(l.open.Program, l.open.GrantedTokens) })
}

// finish charges the answer's tokens without waiting for the log.
func (l *statelessLedger) finish(context.Context) error {
	l.ended = true
	l.charge()
	l.answered(0)
	return nil
}

func (l *statelessLedger) abort() {
	l.charge()
}

// charge counts the tokens sent to the caller, also for an incomplete answer, and frees the rest of the
// reservation.
func (l *statelessLedger) charge() {
	tokens := 0
	if l.answer.begun {
		tokens = min(l.answerTokens(l.answer.collected.started()), l.open.MaxTokens)
	}
	var pending *shard.PendingWrite
	l.slot.Update(func(state *chain.State) {
		if recs := state.EndStateless(l.open, tokens); len(recs) > 0 {
			pending = l.slot.QueueLocked(recs)
		}
	})
	if pending != nil {
		go l.awaitSettlement(pending)
	}
}

// awaitSettlement waits until the log holds the number of tokens that the turn has spent. If the slot has
// moved, the record is forwarded to the next owner, which counts the turn's maximum until then.
func (l *statelessLedger) awaitSettlement(pending *shard.PendingWrite) {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	if err := l.slot.WaitOrForward(ctx, pending); err != nil {
		l.log.Info("turns: tokens spent not logged, the next owner counts the turn's maximum", "id", l.call.ID, "program", l.call.Turn.Program, "slot", l.slot.Number(), "cause", err)
	}
}

// answered logs a complete answer and records its latency. confirm is how long the turn's end waited for the
// log.
func (t *turn) answered(confirm time.Duration) {
	t.counts.Time("turns.first_event{class="+t.route.Name+"}", t.firstEventLatency)
	if t.unframed {
		t.counts.Count("turns.unframed", 1)
	}
	t.log.Info("turns: turn answered", "id", t.call.ID, "program", t.call.Turn.Program, "route", t.route.Name, "slot", t.slot.Number(),
		"replica", t.lease.Replica.ID, "prompt", promptTokens(t.call), "cached", t.lease.CachedTokens, "score", t.lease.ExpectedCost, "among", t.lease.Candidates,
		"sent", t.sent, "placed", t.sentAt.Sub(t.call.Arrived), "events", t.answer.collected.count, "framed", !t.unframed, "first", t.firstEventLatency, "confirm", confirm, "took", time.Since(t.call.Arrived))
}

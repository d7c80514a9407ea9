package slots

import (
	"context"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/fold"
)

const (
	inboxSize             = 256
	sweepInterval         = time.Second
	minRetryDelay         = 20 * time.Millisecond
	maxRetryDelay         = time.Second
	claimRetryDelay       = 200 * time.Millisecond
	snapshotsPerRetention = 3
	// turnGrace is how long a planned release waits for turns in flight.
	turnGrace = 2 * time.Second
)

// message is an event that the event loop of a slot handles.
type message interface{ isMessage() }

type claimMsg struct{}

type claimedMsg struct {
	state *fold.State
	err   error
	took  time.Duration
}

type operationMsg struct {
	ctx   context.Context
	mode  desk.Mode
	op    desk.Op
	reply chan operationReply
}

type operationReply struct {
	ticket *desk.Ticket
	err    error
}

type appendedMsg struct {
	batch  *batch
	result appendResult
}

type retryMsg struct{ batch *batch }

type flushMsg struct{}

type supersededMsg struct{ epoch int64 }

type releaseMsg struct{ done chan struct{} }

func (claimMsg) isMessage()      {}
func (claimedMsg) isMessage()    {}
func (operationMsg) isMessage()  {}
func (appendedMsg) isMessage()   {}
func (retryMsg) isMessage()      {}
func (flushMsg) isMessage()      {}
func (supersededMsg) isMessage() {}
func (releaseMsg) isMessage()    {}

// owner runs the event loop of one slot. Only the loop accesses the mutable fields; epoch is
// also read by other goroutines.
type owner struct {
	svc   *Slots
	id    ident.Slot
	inbox chan message
	// epoch is 0 while this box does not own the slot.
	epoch atomic.Int64

	state *desk.OwnerState
	// seq is the sequence number of the last entry created in this epoch.
	seq       int64
	claiming  bool
	lastClaim time.Time
	// waiting holds operations that arrived while the slot was being claimed.
	waiting       []operationMsg
	queue         []queuedOperation
	queuedRecords int
	// flushNow reports whether the queue must be sent without waiting for more records.
	flushNow       bool
	flushScheduled bool
	inFlight       *batch
	// releasing is nil except during a planned release, which began at releasingAt. It is closed
	// when the release ends.
	releasing   chan struct{}
	releasingAt time.Time
}

type queuedOperation struct {
	recs   []types.Record
	ticket *desk.Ticket
}

func newOwner(svc *Slots, id ident.Slot) *owner {
	return &owner{svc: svc, id: id, inbox: make(chan message, inboxSize)}
}

func (o *owner) send(m message) {
	select {
	case o.inbox <- m:
	case <-o.svc.ctx.Done():
	}
}

func (o *owner) do(ctx context.Context, mode desk.Mode, op desk.Op) (*desk.Ticket, error) {
	reply := make(chan operationReply, 1)
	o.send(operationMsg{ctx: ctx, mode: mode, op: op, reply: reply})
	select {
	case r := <-reply:
		return r.ticket, r.err
	case <-o.svc.ctx.Done():
		return nil, fault.Refuse(fault.Stopping, "box is stopping").WithRetryAfter(time.Second)
	}
}

func (o *owner) release(ctx context.Context) {
	done := make(chan struct{})
	o.send(releaseMsg{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-o.svc.ctx.Done():
	}
}

func (o *owner) run() {
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	for {
		select {
		case <-o.svc.ctx.Done():
			o.clearOwnership(fault.Refuse(fault.Stopping, "box is stopping"))
			return
		case m := <-o.inbox:
			o.handle(m)
		case <-sweepTicker.C:
			o.sweep()
		}
		o.tryRelease()
	}
}

func (o *owner) handle(m message) {
	switch m := m.(type) {
	case claimMsg:
		o.startClaim()
	case claimedMsg:
		o.finishClaim(m)
	case operationMsg:
		o.handleOperation(m)
	case appendedMsg:
		o.handleAppended(m)
	case retryMsg:
		if o.inFlight == m.batch {
			o.startAppend(m.batch)
		}
	case flushMsg:
		o.flushScheduled = false
		o.flushNow = true
		o.flush()
	case supersededMsg:
		if o.state != nil && o.state.State.Epoch == m.epoch {
			o.stepDown("a live box holds a newer claim")
		}
	case releaseMsg:
		o.releasing = m.done
		o.releasingAt = time.Now()
	}
}

func (o *owner) handleOperation(m operationMsg) {
	switch {
	case o.state != nil:
		o.perform(m)
	case o.claiming:
		o.waiting = append(o.waiting, m)
	case o.svc.mayClaim(o.id):
		o.waiting = append(o.waiting, m)
		o.startClaim()
	default:
		m.reply <- operationReply{err: notOwner()}
	}
}

func notOwner() error {
	return fault.Refuse(fault.NotOwner, "this box does not own the slot").WithRetryAfter(claimRetryDelay)
}

func (o *owner) perform(m operationMsg) {
	if m.ctx.Err() != nil {
		m.reply <- operationReply{err: fault.Refuse(fault.DeadlineMissed, "the caller is gone").WithCause(m.ctx.Err())}
		return
	}
	if o.releasing != nil && m.mode < desk.Finish {
		m.reply <- operationReply{err: notOwner()}
		return
	}
	if m.mode == desk.Durable && !o.state.LogAvailable {
		m.reply <- operationReply{err: fault.Refuse(fault.LogUnavailable, "the log is unavailable").WithRetryAfter(time.Second)}
		return
	}
	if o.queuedRecords > o.svc.timing.MaxQueued && m.mode < desk.Finish {
		m.reply <- operationReply{err: fault.Refuse(fault.Overloaded, "too many records wait for the log").WithRetryAfter(time.Second)}
		return
	}
	// The records are enqueued even if the operation failed, since it has already applied them.
	recs, err := m.op(time.Now(), o.state)
	ticket := o.enqueue(recs, m.mode == desk.Durable || m.mode == desk.Urgent || anyAwaited(recs))
	m.reply <- operationReply{ticket: ticket, err: err}
	if o.state != nil && o.state.Superseded {
		o.stepDown("a continuation shows a newer claim")
	}
}

// anyAwaited reports whether the records include a grant or an intent, which calls wait for.
func anyAwaited(recs []types.Record) bool {
	for _, rec := range recs {
		if rec.Grant != nil || rec.Intent != nil {
			return true
		}
	}
	return false
}

// enqueue queues records for the next batch. If there are none, the ticket succeeds at once.
func (o *owner) enqueue(recs []types.Record, urgent bool) *desk.Ticket {
	ticket := desk.NewTicket()
	if len(recs) == 0 {
		ticket.Resolve(nil)
		return ticket
	}
	o.queue = append(o.queue, queuedOperation{recs: recs, ticket: ticket})
	o.queuedRecords += len(recs)
	o.flushNow = o.flushNow || urgent
	o.flush()
	return ticket
}

// stepDown discards the slot's state and fails its operations, since another box owns the
// slot or may own it.
func (o *owner) stepDown(reason string) {
	o.svc.logger.Info("slots: stepped down", "slot", o.id.String(), "epoch", o.epoch.Load(), "why", reason)
	o.svc.counts.Count("slots.step_downs", 1)
	o.clearOwnership(notOwner())
}

func (o *owner) clearOwnership(err error) {
	o.epoch.Store(0)
	o.state = nil
	if o.inFlight != nil {
		o.inFlight.fail(err)
		o.inFlight = nil
	}
	for _, q := range o.queue {
		q.ticket.Resolve(err)
	}
	o.queue, o.queuedRecords = nil, 0
	for _, m := range o.waiting {
		m.reply <- operationReply{err: err}
	}
	o.waiting = nil
}

// sweep ends expired programs and appends snapshots of the items that the log's retention
// would soon delete.
func (o *owner) sweep() {
	if o.state == nil {
		return
	}
	now := time.Now()
	ended, recs := o.state.Sweep(now, o.svc.settings.KeyRetention())
	if retention := o.svc.timing.Retention; retention > 0 && o.state.LogAvailable {
		recs = append(recs, o.state.Snapshot(now, retention/snapshotsPerRetention)...)
	}
	o.enqueue(recs, false)
	if len(ended) == 0 {
		return
	}
	for _, w := range o.svc.watchers {
		go w.Ended(o.id, ended)
	}
}

// tryRelease completes a planned release. It appends the release record once no calls are
// running and turns have finished or turnGrace has passed, and ends the release when the queue
// is empty.
func (o *owner) tryRelease() {
	if o.releasing == nil {
		return
	}
	if o.state == nil && !o.claiming {
		o.finishRelease()
		return
	}
	if o.state == nil || len(o.state.Calls) > 0 {
		return
	}
	if len(o.state.Turns) > 0 && time.Since(o.releasingAt) < turnGrace {
		return
	}
	if !o.state.State.Released {
		recs := append(o.state.SettleGrants(), types.Record{Release: &types.Release{Box: o.svc.self.Name}})
		o.state.State.Released = true
		o.enqueue(recs, true)
	}
	if o.inFlight == nil && len(o.queue) == 0 {
		o.svc.logger.Info("slots: released", "slot", o.id.String(), "epoch", o.epoch.Load())
		o.clearOwnership(notOwner())
		o.finishRelease()
	}
}

func (o *owner) finishRelease() {
	close(o.releasing)
	o.releasing = nil
}

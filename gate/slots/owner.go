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
	inboxSize   = 256
	sweepEvery  = time.Second
	firstRetry  = 20 * time.Millisecond
	lastRetry   = time.Second
	claimPause  = 200 * time.Millisecond
	snapshotDiv = 3
	// turnGrace is how long a planned release waits for running turns.
	turnGrace = 2 * time.Second
)

// message is anything that the event loop of a slot takes.
type message interface{ isMessage() }

type claimMsg struct{}

type claimedMsg struct {
	state *fold.State
	err   error
	took  time.Duration
}

type doMsg struct {
	ctx   context.Context
	mode  desk.Mode
	op    desk.Op
	reply chan doReply
}

type doReply struct {
	ticket *desk.Ticket
	err    error
}

type sentMsg struct {
	batch *batch
	sent  sent
}

type retryMsg struct{ batch *batch }

type flushMsg struct{}

type lostMsg struct{ epoch int64 }

type releaseMsg struct{ done chan struct{} }

func (claimMsg) isMessage()   {}
func (claimedMsg) isMessage() {}
func (doMsg) isMessage()      {}
func (sentMsg) isMessage()    {}
func (retryMsg) isMessage()   {}
func (flushMsg) isMessage()   {}
func (lostMsg) isMessage()    {}
func (releaseMsg) isMessage() {}

// owner is the event loop of one slot. Only the loop touches its fields, except epoch.
type owner struct {
	svc   *Slots
	id    ident.Slot
	inbox chan message
	// epoch is 0 while the slot is not held.
	epoch atomic.Int64

	desk *desk.Desk
	// seq is the newest entry handed to the log under this epoch.
	seq      int64
	claiming bool
	lastTry  time.Time
	// waiting are operations that came while the claim was under way.
	waiting   []doMsg
	queue     []queued
	queuedLen int
	// urgent says that something in queue must not wait for company.
	urgent  bool
	timed   bool
	sending *batch
	// releasing is set during a planned release, since releasingAt, and closed at its end.
	releasing   chan struct{}
	releasingAt time.Time
}

type queued struct {
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
	reply := make(chan doReply, 1)
	o.send(doMsg{ctx: ctx, mode: mode, op: op, reply: reply})
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
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-o.svc.ctx.Done():
			o.drop(fault.Refuse(fault.Stopping, "box is stopping"))
			return
		case m := <-o.inbox:
			o.handle(m)
		case <-sweep.C:
			o.sweep()
		}
		o.tryRelease()
	}
}

func (o *owner) handle(m message) {
	switch m := m.(type) {
	case claimMsg:
		o.claim()
	case claimedMsg:
		o.claimed(m)
	case doMsg:
		o.accept(m)
	case sentMsg:
		o.sent(m)
	case retryMsg:
		if o.sending == m.batch {
			o.transmit(m.batch)
		}
	case flushMsg:
		o.timed = false
		o.urgent = true
		o.flush()
	case lostMsg:
		if o.desk != nil && o.desk.State.Epoch == m.epoch {
			o.stepDown("a live box holds a newer claim")
		}
	case releaseMsg:
		o.releasing = m.done
		o.releasingAt = time.Now()
	}
}

func (o *owner) accept(m doMsg) {
	switch {
	case o.desk != nil:
		o.perform(m)
	case o.claiming:
		o.waiting = append(o.waiting, m)
	case o.svc.mayClaim(o.id):
		o.waiting = append(o.waiting, m)
		o.claim()
	default:
		m.reply <- doReply{err: notOwner()}
	}
}

func notOwner() error {
	return fault.Refuse(fault.NotOwner, "this box does not own the slot").WithRetryAfter(claimPause)
}

func (o *owner) perform(m doMsg) {
	if m.ctx.Err() != nil {
		m.reply <- doReply{err: fault.Refuse(fault.DeadlineMissed, "caller is gone").WithCause(m.ctx.Err())}
		return
	}
	if o.releasing != nil && m.mode < desk.Finish {
		m.reply <- doReply{err: notOwner()}
		return
	}
	if m.mode == desk.Durable && !o.desk.LogUp {
		m.reply <- doReply{err: fault.Refuse(fault.LogUnavailable, "the log is away").WithRetryAfter(time.Second)}
		return
	}
	if o.queuedLen > o.svc.timing.MaxQueued && m.mode < desk.Finish {
		m.reply <- doReply{err: fault.Refuse(fault.Overloaded, "too much waits for the log").WithRetryAfter(time.Second)}
		return
	}
	// Records are kept even if the operation fails after them: they are applied already.
	recs, err := m.op(time.Now(), o.desk)
	ticket := o.enqueue(recs, m.mode == desk.Durable || m.mode == desk.Urgent || awaited(recs))
	m.reply <- doReply{ticket: ticket, err: err}
	if o.desk != nil && o.desk.Superseded {
		o.stepDown("a continuation shows a newer claim")
	}
}

// awaited reports whether work waits for one of the records.
func awaited(recs []types.Record) bool {
	for _, rec := range recs {
		if rec.Grant != nil || rec.Intent != nil {
			return true
		}
	}
	return false
}

// enqueue hands records to the writer. Without records the ticket is good at once.
func (o *owner) enqueue(recs []types.Record, urgent bool) *desk.Ticket {
	ticket := desk.NewTicket()
	if len(recs) == 0 {
		ticket.Close(nil)
		return ticket
	}
	o.queue = append(o.queue, queued{recs: recs, ticket: ticket})
	o.queuedLen += len(recs)
	o.urgent = o.urgent || urgent
	o.flush()
	return ticket
}

// stepDown forgets everything: another box owns the slot, or may.
func (o *owner) stepDown(why string) {
	o.svc.logger.Info("slots: stepped down", "slot", o.id.String(), "epoch", o.epoch.Load(), "why", why)
	o.svc.counts.Count("slots.step_downs", 1)
	o.drop(notOwner())
}

func (o *owner) drop(err error) {
	o.epoch.Store(0)
	o.desk = nil
	if o.sending != nil {
		o.sending.fail(err)
		o.sending = nil
	}
	for _, q := range o.queue {
		q.ticket.Close(err)
	}
	o.queue, o.queuedLen = nil, 0
	for _, m := range o.waiting {
		m.reply <- doReply{err: err}
	}
	o.waiting = nil
}

// sweep ends what is over and carries what the log would forget.
func (o *owner) sweep() {
	if o.desk == nil {
		return
	}
	now := time.Now()
	ended, recs := o.desk.Sweep(now, o.svc.settings.KeyRetention())
	if keep := o.svc.timing.Retention; keep > 0 && o.desk.LogUp {
		recs = append(recs, o.desk.Snapshot(now, keep/snapshotDiv)...)
	}
	o.enqueue(recs, false)
	if len(ended) == 0 {
		return
	}
	for _, w := range o.svc.watchers {
		go w.Ended(o.id, ended)
	}
}

// tryRelease gives the slot up once its runs are finished.
func (o *owner) tryRelease() {
	if o.releasing == nil {
		return
	}
	if o.desk == nil && !o.claiming {
		o.released()
		return
	}
	if o.desk == nil || len(o.desk.Calls) > 0 {
		return
	}
	if len(o.desk.Turns) > 0 && time.Since(o.releasingAt) < turnGrace {
		return
	}
	if !o.desk.State.Released {
		recs := append(o.desk.Settles(), types.Record{Release: &types.Release{Box: o.svc.self.Name}})
		o.desk.State.Released = true
		o.enqueue(recs, true)
	}
	if o.sending == nil && len(o.queue) == 0 {
		o.svc.logger.Info("slots: released", "slot", o.id.String(), "epoch", o.epoch.Load())
		o.drop(notOwner())
		o.released()
	}
}

func (o *owner) released() {
	close(o.releasing)
	o.releasing = nil
}

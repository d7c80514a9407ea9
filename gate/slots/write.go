package slots

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
)

// batch is one entry on its way to the log. It is sent again, with the same Seq, until
// the log has answered; a fold ignores copies.
type batch struct {
	data    []byte
	recs    []types.Record
	tickets []*desk.Ticket
	// expect is the offset that the entry gets if nobody else has written.
	expect int64
	pause  time.Duration
	first  time.Time
}

func (b *batch) fail(err error) {
	for _, t := range b.tickets {
		t.Close(err)
	}
}

// sent is the result of one transmission.
type sent struct {
	offset int64
	// gap holds what others, or earlier copies, put before the entry.
	gap []types.LogEntry
	err error
}

// flush sends what is queued, unless an entry is on its way or company may still come.
func (o *owner) flush() {
	if o.desk == nil || o.sending != nil || len(o.queue) == 0 {
		return
	}
	if !o.urgent {
		o.flushLater()
		return
	}
	b := &batch{expect: o.desk.State.NextOffset, pause: firstRetry, first: time.Now()}
	for _, q := range o.queue {
		b.recs = append(b.recs, q.recs...)
		b.tickets = append(b.tickets, q.ticket)
	}
	o.queue, o.queuedLen, o.urgent = nil, 0, false
	o.seq++
	data, err := json.Marshal(types.Entry{Epoch: o.desk.State.Epoch, Seq: o.seq, Records: b.recs})
	if err != nil {
		b.fail(fault.Refuse(fault.Internal, "entry does not encode").WithCause(err))
		o.stepDown("an entry does not encode")
		return
	}
	b.data = data
	o.sending = b
	o.transmit(b)
}

func (o *owner) flushLater() {
	if o.timed {
		return
	}
	o.timed = true
	time.AfterFunc(o.svc.timing.FlushDelay, func() { o.send(flushMsg{}) })
}

func (o *owner) transmit(b *batch) {
	o.svc.done.Go(func() {
		o.send(sentMsg{batch: b, sent: o.svc.transmit(o.svc.ctx, o.id.Stream(), b)})
	})
}

func (s *Slots) transmit(ctx context.Context, stream string, b *batch) sent {
	if err := s.pace.Wait(ctx); err != nil {
		return sent{err: fault.Refuse(fault.Stopping, "box is stopping").WithCause(err)}
	}
	offset, err := s.log.Append(ctx, stream, b.data)
	if err != nil {
		return sent{err: err}
	}
	if offset == b.expect {
		return sent{offset: offset}
	}
	gap, err := s.readGap(ctx, stream, b.expect, offset)
	return sent{offset: offset, gap: gap, err: err}
}

// readGap reads the entries in [from, to).
func (s *Slots) readGap(ctx context.Context, stream string, from, to int64) ([]types.LogEntry, error) {
	var gap []types.LogEntry
	for from < to {
		page, err := s.log.Read(ctx, stream, from, pageSize)
		if err != nil {
			return nil, err
		}
		if page.First > from || len(page.Entries) == 0 {
			return nil, fault.Fail(fault.LogUnavailable, "entries are gone before they were read")
		}
		for _, entry := range page.Entries {
			if entry.Offset < to {
				gap = append(gap, entry)
			}
			from = entry.Offset + 1
		}
	}
	return gap, nil
}

func (o *owner) sent(m sentMsg) {
	if o.sending != m.batch {
		return
	}
	if m.sent.err != nil {
		o.failed(m.batch, m.sent.err)
		return
	}
	if foreign(m.sent.gap) {
		o.stepDown("the log shows another claim")
		return
	}
	now := time.Now()
	o.sending = nil
	o.desk.State.NextOffset = m.sent.offset + 1
	o.desk.State.Seq = o.seq
	o.desk.Confirm(now, m.batch.recs)
	if !o.desk.LogUp {
		o.svc.logger.Info("slots: log is back", "slot", o.id.String())
	}
	o.desk.LogUp = true
	o.svc.counts.Count("slots.appends", 1)
	o.svc.counts.Count("slots.records", int64(len(m.batch.recs)))
	o.svc.counts.Count("slots.append_bytes", int64(len(m.batch.data)))
	o.svc.counts.Time("slots.append_time", now.Sub(m.batch.first))
	for _, t := range m.batch.tickets {
		t.Close(nil)
	}
	o.flush()
}

// foreign reports whether a claim lies in the gap. Copies and entries of older epochs
// are no harm: every fold ignores them.
func foreign(gap []types.LogEntry) bool {
	for _, entry := range gap {
		var e types.Entry
		if json.Unmarshal(entry.Data, &e) == nil && e.Claim != nil {
			return true
		}
	}
	return false
}

// failed schedules the same entry again. Only a refusal for overload leaves the log up.
func (o *owner) failed(b *batch, err error) {
	o.svc.counts.Count("slots.append_failures", 1)
	if !fault.Is(err, fault.Overloaded) {
		if o.desk.LogUp {
			o.svc.logger.Warn("slots: log is away", "slot", o.id.String(), "error", err)
		}
		o.desk.LogUp = false
	}
	wait := b.pause/2 + rand.N(b.pause)
	b.pause = min(2*b.pause, lastRetry)
	time.AfterFunc(wait, func() { o.send(retryMsg{batch: b}) })
}

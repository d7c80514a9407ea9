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

// batch is one log entry in flight. It is appended again with the same Seq until the log
// confirms it; readers ignore duplicates.
type batch struct {
	data    []byte
	recs    []types.Record
	tickets []*desk.Ticket
	// expectedOffset is the entry's offset if no other entry was appended before it.
	expectedOffset int64
	retryDelay     time.Duration
	firstSent      time.Time
}

func (b *batch) fail(err error) {
	for _, t := range b.tickets {
		t.Resolve(err)
	}
}

// appendResult is the result of one attempt to append a batch.
type appendResult struct {
	offset int64
	// gap holds the entries between the expected offset and the actual one.
	gap []types.LogEntry
	err error
}

// flush appends the queued records as one entry, unless an entry is in flight. Records that
// are not urgent wait for the scheduled flush.
func (o *owner) flush() {
	if o.state == nil || o.inFlight != nil || len(o.queue) == 0 {
		return
	}
	if !o.flushNow {
		o.scheduleFlush()
		return
	}
	b := &batch{expectedOffset: o.state.State.NextOffset, retryDelay: minRetryDelay, firstSent: time.Now()}
	for _, q := range o.queue {
		b.recs = append(b.recs, q.recs...)
		b.tickets = append(b.tickets, q.ticket)
	}
	o.queue, o.queuedRecords, o.flushNow = nil, 0, false
	o.seq++
	data, err := json.Marshal(types.Entry{Epoch: o.state.State.Epoch, Seq: o.seq, Records: b.recs})
	if err != nil {
		b.fail(fault.Refuse(fault.Internal, "cannot encode the log entry").WithCause(err))
		o.stepDown("a log entry cannot be encoded")
		return
	}
	b.data = data
	o.inFlight = b
	o.startAppend(b)
}

func (o *owner) scheduleFlush() {
	if o.flushScheduled {
		return
	}
	o.flushScheduled = true
	time.AfterFunc(o.svc.timing.FlushDelay, func() { o.send(flushMsg{}) })
}

func (o *owner) startAppend(b *batch) {
	o.svc.goroutines.Go(func() {
		o.send(appendedMsg{batch: b, result: o.svc.appendBatch(o.svc.ctx, o.id.Stream(), b)})
	})
}

func (s *Slots) appendBatch(ctx context.Context, stream string, b *batch) appendResult {
	if err := s.appendLimiter.Wait(ctx); err != nil {
		return appendResult{err: fault.Refuse(fault.Stopping, "box is stopping").WithCause(err)}
	}
	offset, err := s.log.Append(ctx, stream, b.data)
	if err != nil {
		return appendResult{err: err}
	}
	if offset == b.expectedOffset {
		return appendResult{offset: offset}
	}
	gap, err := s.readGap(ctx, stream, b.expectedOffset, offset)
	return appendResult{offset: offset, gap: gap, err: err}
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
			return nil, fault.Fail(fault.LogUnavailable, "log entries were deleted before they were read")
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

func (o *owner) handleAppended(m appendedMsg) {
	if o.inFlight != m.batch {
		return
	}
	if m.result.err != nil {
		o.scheduleRetry(m.batch, m.result.err)
		return
	}
	if containsClaim(m.result.gap) {
		o.stepDown("the log shows another claim")
		return
	}
	now := time.Now()
	o.inFlight = nil
	o.state.State.NextOffset = m.result.offset + 1
	o.state.State.Seq = o.seq
	o.state.Confirm(now, m.batch.recs)
	if !o.state.LogAvailable {
		o.svc.logger.Info("slots: log is available again", "slot", o.id.String())
	}
	o.state.LogAvailable = true
	o.svc.counts.Count("slots.appends", 1)
	o.svc.counts.Count("slots.records", int64(len(m.batch.recs)))
	o.svc.counts.Count("slots.append_bytes", int64(len(m.batch.data)))
	o.svc.counts.Time("slots.append_time", now.Sub(m.batch.firstSent))
	for _, t := range m.batch.tickets {
		t.Resolve(nil)
	}
	o.flush()
}

// containsClaim reports whether one of the entries is a claim. Duplicates and entries of
// older epochs are harmless, since readers ignore them.
func containsClaim(gap []types.LogEntry) bool {
	for _, entry := range gap {
		var e types.Entry
		if json.Unmarshal(entry.Data, &e) == nil && e.Claim != nil {
			return true
		}
	}
	return false
}

// scheduleRetry schedules another attempt to append the batch, with exponential backoff and
// jitter. Any error except overload marks the log as unavailable.
func (o *owner) scheduleRetry(b *batch, err error) {
	o.svc.counts.Count("slots.append_failures", 1)
	if !fault.Is(err, fault.Overloaded) {
		if o.state.LogAvailable {
			o.svc.logger.Warn("slots: log is unavailable", "slot", o.id.String(), "error", err)
		}
		o.state.LogAvailable = false
	}
	wait := b.retryDelay/2 + rand.N(b.retryDelay)
	b.retryDelay = min(2*b.retryDelay, maxRetryDelay)
	time.AfterFunc(wait, func() { o.send(retryMsg{batch: b}) })
}

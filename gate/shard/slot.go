package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

const (
	// maxAppendBytes bounds an append, in bytes, unless it has only one record: half of the smallest limit that a store
	// sets for one call.
	maxAppendBytes = 1 << 20
	// minRetryDelay and maxRetryDelay bound the delay before an append is retried.
	minRetryDelay = 25 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// logRetryAfter is the Retry-After delay while the log is unavailable, short enough for several retries
	// within a caller's deadline.
	logRetryAfter = 900 * time.Millisecond
	// confirmTimeout bounds the append by which ConfirmOwnership verifies ownership.
	confirmTimeout = 400 * time.Millisecond
)

// batch is a group of records that is appended as a whole.
type batch struct {
	recs []work.Record
	done chan struct{}
	err  error
}

// Slot is a slot that this box owns or has owned.
type Slot struct {
	manager *Manager
	number  int
	epoch   int64

	// handedOver is set while the slot is released to a box that has not fenced this one off yet: others find no owner here.
	handedOver atomic.Bool

	mu    sync.Mutex
	state *chain.State
	// closing is set once the slot is being released: it accepts no new turns.
	closing bool
	// lost is set once this box can no longer write, since it has released the slot or another box has
	// claimed it.
	lost bool
	// queue holds the batches to append, in order. writing reports whether the writer goroutine runs.
	queue   []*batch
	writing bool
	// appendNumber is the number of the newest append of this epoch that the log has taken; only the writer uses it.
	// appendStarted is the time at which the append in progress started; zero if there is none.
	appendNumber  int64
	appendStarted time.Time
	// provenAt is when the newest append started that the log has confirmed: this box owned the slot then. appendTime is
	// how long that append took. doubtedAt is when another box last claimed to own the slot.
	provenAt, doubtedAt time.Time
	appendTime          time.Duration
}

func newSlot(m *Manager, number int, epoch int64, state *chain.State) *Slot {
	return &Slot{manager: m, number: number, epoch: epoch, state: state}
}

// Number returns the number of the slot.
func (s *Slot) Number() int {
	return s.number
}

// BeginTurn begins a turn: it calls do, which may read and change the state, while the slot is locked. It
// returns NotOwner if this box is releasing the slot or has lost it.
func (s *Slot) BeginTurn(do func(state *chain.State) error) error {
	s.mu.Lock()
	if s.closing || s.lost {
		s.mu.Unlock()
		return s.manager.notOwner(s.number, "this box is releasing the slot")
	}
	defer s.mu.Unlock()
	return do(s.state)
}

// confirmKey is the key of an empty record that is written only to verify ownership. Having no value,
// it leaves nothing in the log.
const confirmKey = "confirm"

// ConfirmOwnership returns nil once an append has shown that this box still owns the slot. An owner that others
// could not reach for a moment may have missed that another box claimed the slot and wrote to it.
func (s *Slot) ConfirmOwnership(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	if err := s.Write(ctx, []work.Record{{Key: confirmKey}}); err != nil {
		return fault.Refuse(fault.NotOwner, "the log did not confirm ownership of the slot").WithRetryAfter(logRetryAfter).WithCause(err)
	}
	return nil
}

const (
	// ownershipTTL is how long after a confirmed append turns begin without another one, so that busy slots need no
	// appends only to prove their ownership. A multiple of the append's time is added, since a slow log is seldom written to.
	ownershipTTL    = 500 * time.Millisecond
	ttlAppends      = 4
	maxOwnershipTTL = 2 * time.Second
	// ownershipTimeout is how long a turn waits for such an append.
	ownershipTimeout = 150 * time.Millisecond
)

// AwaitOwnership returns NotOwner if another box owns the slot. Unless an append has lately proved that this one does, it
// waits for one. If the log does not answer within ownershipTimeout, it returns nil: while the log can't be reached, no box
// can claim the slot.
func (s *Slot) AwaitOwnership(ctx context.Context) error {
	proof := s.startProof()
	if proof == nil {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, ownershipTimeout)
	defer stop()
	if err := proof.Wait(ctx); fault.Is(err, fault.NotOwner) {
		return s.manager.notOwner(s.number, "another box owns the slot")
	}
	return nil
}

// startProof returns a write that shows whether this box owns the slot, or nil if that is known or the log is slow.
func (s *Slot) startProof() *PendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := min(ownershipTTL+ttlAppends*s.appendTime, maxOwnershipTTL)
	proven := time.Since(s.provenAt) < ttl && s.provenAt.After(s.doubtedAt)
	logSlow := !s.appendStarted.IsZero() && time.Since(s.appendStarted) > ownershipTimeout
	if !s.lost && (proven || logSlow) {
		return nil
	}
	if len(s.queue) > 0 {
		return &PendingWrite{batches: s.queue[len(s.queue)-1:]}
	}
	return s.QueueLocked([]work.Record{{Key: confirmKey}})
}

// BarrierLocked returns a write that ends once all records queued so far are written, or nil if they are. It is for callers
// within BeginTurn or Update.
func (s *Slot) BarrierLocked() *PendingWrite {
	if !s.writing && !s.lost {
		return nil
	}
	return s.QueueLocked([]work.Record{{Key: confirmKey}})
}

// doubtOwnership makes turns wait for the next append, since another box may own the slot.
func (s *Slot) doubtOwnership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubtedAt = time.Now()
}

// isLost reports whether this box can no longer write to the slot.
func (s *Slot) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// AppendAge returns how long the append in progress has been running; zero if there is none.
func (s *Slot) AppendAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appendStarted.IsZero() {
		return 0
	}
	return time.Since(s.appendStarted)
}

// Update calls do, which may change the state, while the slot is locked. Unlike BeginTurn, it also works on
// a slot that is released or lost.
func (s *Slot) Update(do func(state *chain.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.state)
}

// Queue hands records to the writer. Wait on the result reports whether they were written.
func (s *Slot) Queue(recs []work.Record) *PendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.QueueLocked(recs)
}

// QueueLocked is Queue for callers within BeginTurn or Update, so that records are written in the order in
// which the state changed. Records that are too long for one append are written by several, in their order.
func (s *Slot) QueueLocked(recs []work.Record) *PendingWrite {
	pending := &PendingWrite{}
	for _, part := range splitRecords(recs) {
		b := &batch{recs: part, done: make(chan struct{})}
		pending.batches = append(pending.batches, b)
		if s.lost {
			b.err = slotLostFault()
			close(b.done)
			continue
		}
		s.queue = append(s.queue, b)
	}
	if !s.lost && !s.writing {
		s.writing = true
		go s.runWriter()
	}
	return pending
}

// splitRecords splits the records into groups of at most maxAppendBytes, or of one record; at least one group.
func splitRecords(recs []work.Record) [][]work.Record {
	var groups [][]work.Record
	size, first := 0, 0
	for n := range recs {
		length := recordBytes(recs[n : n+1])
		if n > first && size+length > maxAppendBytes {
			groups = append(groups, recs[first:n:n])
			size, first = 0, n
		}
		size += length
	}
	return append(groups, recs[first:])
}

// recordOverhead bounds what the log adds to each record, in bytes.
const recordOverhead = 16

// recordBytes returns the size of the records in an append; 0 if there are none.
func recordBytes(recs []work.Record) int {
	size := 0
	for _, rec := range recs {
		size += len(rec.Key) + len(rec.Value) + recordOverhead
	}
	return size
}

// PendingWrite is a write of records that is queued or in progress.
type PendingWrite struct{ batches []*batch }

// records returns the records of the write.
func (p *PendingWrite) records() []work.Record {
	return recordsOf(p.batches)
}

// Wait returns nil once the records are written, or a fault if they can't be written or ctx ends first.
// After ctx has ended they may still be written.
func (p *PendingWrite) Wait(ctx context.Context) error {
	for _, b := range p.batches {
		if err := b.wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (b *batch) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return b.err
	default:
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return fault.Fail(fault.LogUnavailable, "the log did not confirm the write in time")
	}
}

// WaitOrForward returns once the records are written. If another box owns the slot by now, it forwards them to
// that box: a turn that began here may end after the slot has moved.
func (s *Slot) WaitOrForward(ctx context.Context, p *PendingWrite) error {
	err := p.Wait(ctx)
	if !fault.Is(err, fault.NotOwner) {
		return err
	}
	return s.manager.forward(ctx, s.number, p.records())
}

// applyAndWrite applies and writes the records of a turn that began at a previous owner: all of them or, if one is
// malformed, none.
func (s *Slot) applyAndWrite(ctx context.Context, recs []work.Record) error {
	for _, rec := range recs {
		if err := chain.Check(rec); err != nil {
			return err
		}
	}
	s.mu.Lock()
	if s.closing || s.lost {
		s.mu.Unlock()
		return s.manager.notOwner(s.number, "this box is releasing the slot")
	}
	for _, rec := range recs {
		_ = s.state.Apply(rec) // all of them have been checked
	}
	pending := s.QueueLocked(recs)
	s.mu.Unlock()
	return pending.Wait(ctx)
}

// Write queues records and waits until they are written.
func (s *Slot) Write(ctx context.Context, recs []work.Record) error {
	return s.Queue(recs).Wait(ctx)
}

// runWriter appends the queued batches, one call at a time, until the queue is empty.
func (s *Slot) runWriter() {
	for {
		batches := s.nextAppend()
		if len(batches) == 0 {
			return
		}
		s.finishAppend(batches, s.append(recordsOf(batches)))
	}
}

// finishAppend ends the writes of an append that had the given result. If the log has rejected it, the batches are
// appended apart, so that only those fail that the log does not take.
func (s *Slot) finishAppend(batches []*batch, err error) {
	if fault.Is(err, fault.LogRejected) && len(batches) > 1 {
		for _, half := range [][]*batch{batches[:len(batches)/2], batches[len(batches)/2:]} {
			if s.isLost() {
				err = slotLostFault()
			} else {
				err = s.append(recordsOf(half))
			}
			s.finishAppend(half, err)
		}
		return
	}
	switch {
	case fault.Is(err, fault.LogRejected):
		s.manager.logger.Error("shard: records rejected by the log", "slot", s.number, "records", len(batches[0].recs), "bytes", recordBytes(batches[0].recs), "cause", err)
		s.manager.counts.Count("shard.rejected", 1)
		s.Update(func(state *chain.State) { state.Discard(batches[0].recs) })
	case err != nil:
		err = slotLostFault().WithCause(err)
		s.markLost(err) // before the writes end, so that a retry finds the slot dropped
	}
	for _, b := range batches {
		b.err = err
		close(b.done)
	}
}

// recordsOf returns the records of the batches.
func recordsOf(batches []*batch) []work.Record {
	var recs []work.Record
	for _, b := range batches {
		recs = append(recs, b.recs...)
	}
	return recs
}

// nextAppend removes the batches of the next append from the queue.
func (s *Slot) nextAppend() []*batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for ; n < len(s.queue); n++ {
		length := recordBytes(s.queue[n].recs)
		if n > 0 && size+length > maxAppendBytes {
			break
		}
		size += length
	}
	batches := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.writing = n > 0
	s.appendStarted = time.Time{}
	if s.writing {
		s.appendStarted = time.Now()
	}
	return batches
}

// append retries one append until it succeeds, the log rejects it, another box turns out to own the slot, or the manager
// stops. The log answers a repeated append number as it did the first time, so retries add no record twice. A rejection
// after an attempt of which nothing is known gives the slot up: the next append could not have the same number.
func (s *Slot) append(recs []work.Record) error {
	if len(recs) == 0 {
		return nil
	}
	shard := work.Shard{Topic: work.Turns, Number: s.number}
	writer := work.Writer{Epoch: s.epoch, Number: s.appendNumber + 1}
	pause := minRetryDelay
	mayBeAdded := false
	for {
		start := time.Now()
		ctx, stop := context.WithTimeout(s.manager.ctx, callTimeout)
		err := s.manager.log.Append(ctx, shard, writer, recs)
		stop()
		if err == nil {
			s.appendNumber++
			s.recordProof(start)
			s.manager.counts.Time("shard.append_time", time.Since(start))
			return nil
		}
		if fault.Is(err, fault.NotOwner) || s.manager.ctx.Err() != nil {
			return err
		}
		if fault.Is(err, fault.LogRejected) {
			if mayBeAdded {
				return fault.Fail(fault.LogUnavailable, "an append was rejected after one without an answer").WithCause(err)
			}
			return err
		}
		mayBeAdded = mayBeAdded || !fault.From(err).NotRun
		s.manager.counts.Count("shard.append_failed", 1)
		s.manager.logger.Warn("shard: append failed", "slot", s.number, "cause", err, "took", time.Since(start))
		select {
		case <-time.After(pause):
		case <-s.manager.ctx.Done():
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// recordProof records that the log has confirmed an append that started at the given time.
func (s *Slot) recordProof(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provenAt, s.appendTime = start, time.Since(start)
}

// markLost gives up the slot after an append that cannot succeed, and fails all queued batches.
func (s *Slot) markLost(err error) {
	s.manager.logger.Warn("shard: lost slot", "slot", s.number, "epoch", s.epoch, "cause", err)
	s.manager.counts.Count("shard.lost", 1)
	s.mu.Lock()
	s.lost = true
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, b := range queue {
		b.err = slotLostFault()
		close(b.done)
	}
	s.manager.remove(s)
}

func slotLostFault() *fault.Fault {
	return fault.Fail(fault.NotOwner, "another box owns the slot")
}

// close ends the ownership: QueueLocked rejects records from now on, and WaitOrForward forwards them to the
// next owner.
func (s *Slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.lost = true
}

// drain rejects new turns and waits at most drainTimeout until the records queued so far are written. It
// reports whether they were. Turns in progress continue: records that they queue after the release go to the
// next owner.
func (s *Slot) drain(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, drainTimeout)
	defer stop()
	s.mu.Lock()
	s.closing = true
	last := s.QueueLocked(s.state.ReleaseUnused())
	s.mu.Unlock()
	return last.Wait(ctx) == nil
}

// release gives up the slot once its queued records are written, or after drainTimeout.
func (s *Slot) release(ctx context.Context) {
	start := time.Now()
	drained := s.drain(ctx)
	s.manager.remove(s)
	s.manager.logger.Info("shard: released slot", "slot", s.number, "whole", drained, "took", time.Since(start))
}

// expire drops programs that have outlived their retention.
func (s *Slot) expire(now time.Time) {
	s.mu.Lock()
	drops := s.state.Expire(now, expireLimit)
	s.mu.Unlock()
	if len(drops) > 0 {
		s.Queue(drops)
	}
}

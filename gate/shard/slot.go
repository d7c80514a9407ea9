package shard

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

const (
	// maxBatch bounds the records of one append, in bytes: half of what the smallest store
	// takes in a call.
	maxBatch = 1 << 20
	// retryFirst and retryMost bound the pause before an append is sent again.
	retryFirst = 25 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// awayRetry is the advice given while the log can't be asked: a third of the shortest
	// time that callers have.
	awayRetry = 900 * time.Millisecond
	// confirmWait bounds the wait for the log's word on who owns a slot.
	confirmWait = 400 * time.Millisecond
)

// batch is what waits for one append.
type batch struct {
	recs []work.Record
	done chan struct{}
	err  error
}

// Slot is a slot that this box owns, or did own.
type Slot struct {
	shards *Shards
	number int
	epoch  int64

	mu    sync.Mutex
	state *chain.State
	// closing says that new turns go to another box.
	closing bool
	// lost says that another box has claimed the slot: nothing can be written any more.
	lost bool
	// queue is written in its order; the writer runs while it is not empty.
	queue   []*batch
	writing bool
	// sent is the number of the last append of the epoch, since when that went out; zero while none
	// is under way.
	sent  int64
	since time.Time
}

func newSlot(s *Shards, number int, epoch int64, state *chain.State) *Slot {
	return &Slot{shards: s, number: number, epoch: epoch, state: state}
}

// Number is the slot's.
func (s *Slot) Number() int {
	return s.number
}

// Enter begins a turn: do looks at the state and may change it.
func (s *Slot) Enter(do func(state *chain.State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.lost {
		return fault.Refuse(fault.NotOwner, "this box gives the slot up").After(retryAfter)
	}
	return do(s.state)
}

// confirmKey is the key of a record that says nothing: it is dropped as it is written.
const confirmKey = "confirm"

// Fresh reports that no other box can have claimed the slot by what it has heard.
func (s *Slot) Fresh() bool {
	return s.shards.boxes.Fresh() && s.shards.boxes.Settled()
}

// Confirm returns nil once the log has shown that this box still owns the slot. An owner
// that was cut off for a while may have missed what another has written since.
func (s *Slot) Confirm(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, confirmWait)
	defer stop()
	if err := s.Write(ctx, []work.Record{{Key: confirmKey}}); err != nil {
		return fault.Refuse(fault.NotOwner, "the log does not confirm the owner").After(awayRetry).Because(err)
	}
	return nil
}

// Behind is how long the log has not taken the slot's newest append; zero if none is under way.
func (s *Slot) Behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return time.Since(s.since)
}

// Change changes the state in the course of a turn.
func (s *Slot) Change(do func(state *chain.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.state)
}

// Queue hands records to the writer. The channel is closed once they are written or can't
// be; Err then tells which.
func (s *Slot) Queue(recs []work.Record) *Pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.QueueLocked(recs)
}

// QueueLocked is Queue within Enter or Change, so that records go to the log in the order
// in which the state was changed.
func (s *Slot) QueueLocked(recs []work.Record) *Pending {
	b := &batch{recs: recs, done: make(chan struct{})}
	if s.lost {
		b.err = lostSlot()
		close(b.done)
		return &Pending{b}
	}
	s.queue = append(s.queue, b)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	return &Pending{b}
}

// Pending is records on their way to the log.
type Pending struct{ batch *batch }

// Wait returns once the records are written, or with a fault if they can't be or ctx ends
// before. They may still be written after ctx has ended.
func (p *Pending) Wait(ctx context.Context) error {
	select {
	case <-p.batch.done:
		return p.batch.err
	default:
	}
	select {
	case <-p.batch.done:
		return p.batch.err
	case <-ctx.Done():
		return fault.Fail(fault.LogUnavailable, "the log has not confirmed in time")
	}
}

// Await returns once the records are in the log. Where another box owns the slot by now,
// it is given the records: a turn that began here may end after the slot has moved.
func (s *Slot) Await(ctx context.Context, p *Pending) error {
	err := p.Wait(ctx)
	if !fault.Is(err, fault.NotOwner) {
		return err
	}
	return s.shards.forward(ctx, s.number, p.batch.recs)
}

// take adds records of a turn that began at an owner before.
func (s *Slot) take(ctx context.Context, recs []work.Record) error {
	s.mu.Lock()
	if s.closing || s.lost {
		s.mu.Unlock()
		return fault.Refuse(fault.NotOwner, "this box gives the slot up").After(retryAfter)
	}
	for _, rec := range recs {
		if err := s.state.Apply(rec); err != nil {
			s.mu.Unlock()
			return err
		}
	}
	pending := s.QueueLocked(recs)
	s.mu.Unlock()
	return pending.Wait(ctx)
}

// Write queues records and waits for them.
func (s *Slot) Write(ctx context.Context, recs []work.Record) error {
	return s.Queue(recs).Wait(ctx)
}

// write appends what is queued, one call at a time, until nothing is left.
func (s *Slot) write() {
	for {
		batches := s.next()
		if len(batches) == 0 {
			return
		}
		var recs []work.Record
		for _, b := range batches {
			recs = append(recs, b.recs...)
		}
		err := s.append(recs)
		if err != nil {
			err = lostSlot().Because(err)
		}
		for _, b := range batches {
			b.err = err
			close(b.done)
		}
		if err != nil {
			s.fail(err)
		}
	}
}

// next takes the batches of the next append off the queue.
func (s *Slot) next() []*batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size < maxBatch) {
		for _, rec := range s.queue[n].recs {
			size += len(rec.Key) + len(rec.Value)
		}
		n++
	}
	batches := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.writing = n > 0
	s.since = time.Time{}
	if s.writing {
		s.since = time.Now()
	}
	if size > 0 {
		s.sent++
	}
	return batches
}

// append sends one append until it is done or another box is found to own the slot. The
// log knows a repeated number and answers it as the first time.
func (s *Slot) append(recs []work.Record) error {
	if len(recs) == 0 {
		return nil
	}
	shard := work.Shard{Topic: work.Turns, Number: s.number}
	writer := work.Writer{Epoch: s.epoch, Number: s.sent}
	pause := retryFirst
	for {
		start := time.Now()
		ctx, stop := context.WithTimeout(s.shards.ctx, callTimeout)
		err := s.shards.log.Append(ctx, shard, writer, recs)
		stop()
		if err == nil {
			s.shards.counts.Time("shard.append_time", time.Since(start))
			return nil
		}
		if fault.Is(err, fault.NotOwner) || s.shards.ctx.Err() != nil {
			return err
		}
		s.shards.counts.Count("shard.append_failed", 1)
		s.shards.logger.Warn("shard: append failed", "slot", s.number, "cause", err, "took", time.Since(start))
		select {
		case <-time.After(pause):
		case <-s.shards.ctx.Done():
		}
		pause = min(2*pause, retryMost)
	}
}

// fail gives the slot up after an append that can never be done.
func (s *Slot) fail(err error) {
	s.shards.logger.Warn("shard: lost slot", "slot", s.number, "epoch", s.epoch, "cause", err)
	s.shards.counts.Count("shard.lost", 1)
	s.mu.Lock()
	s.lost = true
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, b := range queue {
		b.err = lostSlot()
		close(b.done)
	}
	s.shards.forget(s)
}

func lostSlot() *fault.Fault {
	return fault.Fail(fault.NotOwner, "another box owns the slot")
}

// close ends the ownership: records that are queued from now on go to the next owner.
func (s *Slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.lost = true
}

// drain keeps new turns out and waits until all records are written that are queued by
// then. Turns under way go on: what they write later goes to the next owner.
func (s *Slot) drain(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, drainWait)
	defer stop()
	s.mu.Lock()
	s.closing = true
	last := s.QueueLocked(s.state.Settle())
	s.mu.Unlock()
	return last.Wait(ctx) == nil
}

// sweep drops programs whose time is over.
func (s *Slot) sweep(now time.Time) {
	s.mu.Lock()
	drops := s.state.Expire(now, sweepLimit)
	s.mu.Unlock()
	if len(drops) > 0 {
		s.Queue(drops)
	}
}

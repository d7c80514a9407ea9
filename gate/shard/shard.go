package shard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/work"
)

const (
	// callTimeout bounds one call to the log. The store's own queue may take 2 s.
	callTimeout = 2500 * time.Millisecond
	// claimPause is the time between two tries to claim a slot.
	claimPause = 250 * time.Millisecond
	// claimWait is how long a call waits for a claim under way.
	claimWait = 500 * time.Millisecond
	// drainWait is how long a hand-over waits for records on their way to the log.
	drainWait = time.Second
	// handoverWait bounds the question to the owner before; it covers drainWait.
	handoverWait = 1500 * time.Millisecond
	// yieldFor is how long a slot that was handed over is not claimed back: the time in which
	// the views of two boxes come to agree.
	yieldFor = 1500 * time.Millisecond
	// sweepEvery is the time between two looks for programs whose time is over, and
	// sweepLimit the number of records that one look drops.
	sweepEvery = 5 * time.Second
	sweepLimit = 500
	// retryAfter is the advice given while a slot has no owner: about the length of a claim.
	retryAfter = 400 * time.Millisecond
)

// Log is the part of the log that owners use.
type Log interface {
	// Append adds the records in one call, all or none. A fault NotOwner means that another
	// writer has fenced this one off; NotRun means that nothing was added; after any other
	// fault the records may have been added. The same number may be sent again.
	Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error
	// Newest returns the newest records of the keys behind after.
	Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error)
	Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error)
}

// Boxes tells who lives.
type Boxes interface {
	Owner(slot string) (work.Box, bool)
	// Owners returns the box that should own a slot and, in order, those that should if the
	// ones before were gone: n at most.
	Owners(slot string, n int) []work.Box
	Find(name, incarnation string) (work.Box, bool)
	Settled() bool
	// Fresh reports that no other box can count this one as dead.
	Fresh() bool
}

// Peers asks other boxes.
type Peers interface {
	// Handover returns once the box has given the slot up.
	Handover(ctx context.Context, box work.Box, slot int) error
	// Deliver returns once the box, as owner of the slot, has written the records.
	Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error
}

// Counts takes figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Shards is the service.
type Shards struct {
	self   work.Box
	layout Layout
	log    Log
	boxes  Boxes
	peers  Peers
	counts Counts
	logger *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	slots []*Slot
	// claiming holds a channel for each claim under way, closed at its end.
	claiming map[int]chan struct{}
	// yielded is when a slot was given up to a box that asked for it.
	yielded map[int]time.Time
	leaving bool
}

// New makes shards that own nothing.
func New(self work.Box, layout Layout, log Log, boxes Boxes, peers Peers, counts Counts, logger *slog.Logger) *Shards {
	ctx, cancel := context.WithCancel(context.Background())
	return &Shards{
		self: self, layout: layout, log: log, boxes: boxes, peers: peers, counts: counts, logger: logger,
		ctx: ctx, cancel: cancel, slots: make([]*Slot, layout.Slots()), claiming: map[int]chan struct{}{}, yielded: map[int]time.Time{},
	}
}

// Start implements a service.
func (s *Shards) Start(context.Context) error {
	s.done.Go(func() { kernel.Every(s.ctx, sweepEvery, s.sweep) })
	return nil
}

// Stop gives all slots up, each once its records are written.
func (s *Shards) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	var all sync.WaitGroup
	for number := range s.slots {
		all.Go(func() { s.Release(ctx, number) })
	}
	all.Wait()
	s.cancel()
	s.done.Wait()
	return nil
}

// Holds reports whether this box holds the slot now.
func (s *Shards) Holds(number int) bool {
	slot, _ := s.get(number)
	return slot != nil
}

// All returns the slots of this box.
func (s *Shards) All() []*Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []*Slot
	for _, slot := range s.slots {
		if slot != nil {
			held = append(held, slot)
		}
	}
	return held
}

// Held counts the slots of this box.
func (s *Shards) Held() int {
	return len(s.All())
}

// Rebalance claims the slots that this box should own and does not. It is called when the
// living boxes change. Slots that another box should own are given up when it asks.
func (s *Shards) Rebalance() {
	if !s.boxes.Settled() {
		return
	}
	for number := range s.slots {
		if s.mine(number) {
			s.claim(number)
		}
	}
}

// mine reports whether this box should own the slot.
func (s *Shards) mine(number int) bool {
	box, ok := s.boxes.Owner(s.layout.Name(number))
	return ok && box.Name == s.self.Name
}

// Get returns the slot if this box owns it, waiting a little for a claim under way.
func (s *Shards) Get(ctx context.Context, number int) (*Slot, error) {
	if number < 0 || number >= len(s.slots) {
		return nil, fault.Refuse(fault.BadRequest, "no such slot")
	}
	slot, wait := s.get(number)
	if slot == nil && wait == nil && s.mine(number) && s.boxes.Settled() {
		wait = s.claim(number)
	}
	// Without touch to the log a claim can't end soon; the caller is better off elsewhere.
	if slot == nil && wait != nil && s.boxes.Settled() {
		select {
		case <-wait:
		case <-time.After(claimWait):
		case <-ctx.Done():
		}
		slot, _ = s.get(number)
	}
	if slot == nil {
		return nil, fault.Refuse(fault.NotOwner, "this box does not own the slot").After(retryAfter)
	}
	return slot, nil
}

func (s *Shards) get(number int) (*Slot, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots[number], s.claiming[number]
}

// claim starts a claim unless the slot is held or one is under way.
func (s *Shards) claim(number int) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots[number] != nil || s.leaving || s.ctx.Err() != nil || time.Since(s.yielded[number]) < yieldFor {
		return nil
	}
	if wait := s.claiming[number]; wait != nil {
		return wait
	}
	wait := make(chan struct{})
	s.claiming[number] = wait
	s.done.Go(func() { s.pursue(number, wait) })
	return wait
}

// pursue claims the slot until it is held or another box should own it.
func (s *Shards) pursue(number int, wait chan struct{}) {
	start := time.Now()
	var slot *Slot
	for s.ctx.Err() == nil && s.mine(number) {
		got, err := s.acquire(number)
		if err == nil {
			slot = got
			break
		}
		s.logger.Info("shard: claim failed", "slot", number, "cause", err)
		select {
		case <-time.After(claimPause):
		case <-s.ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claiming, number)
	close(wait)
	if slot == nil || s.leaving {
		return
	}
	s.slots[number] = slot
	s.counts.Time("shard.claim_time", time.Since(start))
	s.logger.Info("shard: claimed", "slot", number, "epoch", slot.epoch, "programs", slot.state.Programs(), "took", time.Since(start))
}

// Yield gives the slot up to a box that asks for it.
func (s *Shards) Yield(ctx context.Context, number int) error {
	if number < 0 || number >= len(s.slots) {
		return fault.Refuse(fault.BadRequest, "no such slot")
	}
	s.mu.Lock()
	s.yielded[number] = time.Now()
	s.mu.Unlock()
	s.Release(ctx, number)
	return nil
}

// Deliver writes records of a turn that began at an owner before, if this box owns the slot.
func (s *Shards) Deliver(ctx context.Context, number int, recs []work.Record) error {
	slot, err := s.Get(ctx, number)
	if err != nil {
		return err
	}
	return slot.take(ctx, recs)
}

// Release gives the slot up once its records are written, or after a bounded time.
func (s *Shards) Release(ctx context.Context, number int) {
	s.mu.Lock()
	slot := s.slots[number]
	s.mu.Unlock()
	if slot == nil {
		return
	}
	start := time.Now()
	whole := slot.drain(ctx)
	s.forget(slot)
	s.logger.Info("shard: gave slot up", "slot", number, "whole", whole, "took", time.Since(start))
}

// forget takes the slot off, if it is still the one held.
func (s *Shards) forget(slot *Slot) {
	slot.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots[slot.number] == slot {
		s.slots[slot.number] = nil
	}
}

// sweep drops programs whose time is over.
func (s *Shards) sweep() {
	for number := range s.slots {
		if slot, _ := s.get(number); slot != nil {
			slot.sweep(time.Now())
		}
	}
}

package shard

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/work"
)

const (
	// callTimeout bounds one call to the log. It exceeds the 2 s for which the store may queue a call.
	callTimeout = 2500 * time.Millisecond
	// claimRetryDelay is the time after the first failed try to claim a slot. It doubles with each try up to
	// maxClaimRetryDelay, and varies by up to a half, so that slots that fail together do not begin again together.
	claimRetryDelay    = 250 * time.Millisecond
	maxClaimRetryDelay = time.Second
	// claimTimeout is how long Get waits for a claim in progress.
	claimTimeout = 500 * time.Millisecond
	// drainTimeout is how long a release waits for queued records to be written.
	drainTimeout = time.Second
	// handoverTimeout bounds the handover request to the previous owner; it exceeds drainTimeout.
	handoverTimeout = 1500 * time.Millisecond
	// keptDelay is how long a box does not ask again for a slot that its owner keeps. The owner's view is then likely to
	// have changed: it spans two heartbeats.
	keptDelay = 600 * time.Millisecond
	// reclaimDelay is how long a box does not claim a slot again after handing it over, so that the
	// views of both boxes can converge.
	reclaimDelay = 1500 * time.Millisecond
	// takeoverDelay is how long a box does not take over a slot again from the same box after a confirmed failure. It
	// doubles with each takeover up to maxTakeoverDelay, and starts anew after takeoverReset without one. A box
	// that some others reach and some don't would otherwise exchange the slot with its successor all the time.
	takeoverDelay    = 3 * time.Second
	maxTakeoverDelay = 24 * time.Second
	takeoverReset    = time.Minute
	// expireInterval is the time between two searches for expired programs, and expireLimit the number
	// of records that one search drops from a slot.
	expireInterval = 5 * time.Second
	expireLimit    = 500
	// retryAfter is the Retry-After delay while a slot has no owner: about the duration of a claim.
	retryAfter = 400 * time.Millisecond
)

// Log is the part of the log that slot owners use.
type Log interface {
	// Append adds all of the records or none. NotOwner means that another writer has fenced this one
	// off, LogRejected that the log will never take these records, and NotRun that nothing was added; after any
	// other fault the records may have been added. An append may be retried with the same number.
	Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error
	// Newest returns the newest record of each key that sorts after the given key.
	Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error)
	// Read returns the records from the given offset on. HistoryGone means that they are no longer stored.
	Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error)
}

// Boxes is this box's view of the live boxes.
type Boxes interface {
	// Owner returns the box that should own the slot.
	Owner(slot string) (work.Box, bool)
	// Owners returns at most n boxes: the one that should own the slot, then those that would own it if
	// the preceding ones were gone.
	Owners(slot string, n int) []work.Box
	// Find returns the live box with the name and incarnation.
	Find(name, incarnation string) (work.Box, bool)
	// Settled reports whether the view is complete enough to claim slots by it.
	Settled() bool
	// Failed reports whether other boxes have confirmed that the box, which is still listed, can't be reached.
	Failed(box work.Box) bool
	// FailedRecently reports whether that was confirmed so recently that a takeover may start.
	FailedRecently(box work.Box) bool
}

// Peers sends requests to other boxes.
type Peers interface {
	// Keeps reports whether the box owns the slot and keeps it from the claimant, whose epoch is that of the newest claim
	// that it knows.
	Keeps(ctx context.Context, box work.Box, slot int, claimant work.Owner) (bool, error)
	// Handover returns once the box has released the slot to the claimant.
	Handover(ctx context.Context, box work.Box, slot int, claimant work.Owner) error
	// Deliver returns once the box, as the owner of the slot, has written the records.
	Deliver(ctx context.Context, box work.Box, slot int, recs []work.Record) error
	// NotifyTaken tells the box that the owner, this one, has taken the slot over from it.
	NotifyTaken(ctx context.Context, box work.Box, slot int, owner work.Owner) error
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// Manager claims, holds and releases the slots of this box.
type Manager struct {
	self       work.Box
	layout     Layout
	log        Log
	boxes      Boxes
	peers      Peers
	counts     Counts
	logger     *slog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu    sync.Mutex
	slots []*Slot
	// claiming holds a channel for each claim in progress, which is closed when the claim ends.
	claiming map[int]chan struct{}
	// handedOverAt holds the time at which each slot was handed over to a box that asked for it, takenBackAt the time at which
	// it was taken back from such a box, and keptAt the time at which its owner last kept it from this box.
	handedOverAt, takenBackAt, keptAt map[int]time.Time
	// known holds the owner of each slot that another box owns, as far as this one knows.
	known map[int]knownOwner
	// lookups holds the newest read of each slot's owner from the log.
	lookups map[int]*ownerLookup
	// takeovers holds the recent takeovers of slots from boxes that were still listed.
	takeovers map[takeover]takeoverStreak
	// preloads holds the slots that are read ahead of a likely claim.
	preloads map[int]*preload
	// reads admits the reads of slots.
	reads *readQueue
	// verifyDue says that the held slots must be verified once the view settles, since others may have claimed
	// them meanwhile.
	verifyDue bool
	stopping  bool
}

// New returns a Manager that owns no slots.
func New(self work.Box, layout Layout, log Log, boxes Boxes, peers Peers, counts Counts, logger *slog.Logger) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		self: self, layout: layout, log: log, boxes: boxes, peers: peers, counts: counts, logger: logger,
		ctx: ctx, cancel: cancel, slots: make([]*Slot, layout.Slots()), claiming: map[int]chan struct{}{},
		handedOverAt: map[int]time.Time{}, takenBackAt: map[int]time.Time{}, keptAt: map[int]time.Time{}, known: map[int]knownOwner{}, lookups: map[int]*ownerLookup{},
		takeovers: map[takeover]takeoverStreak{}, preloads: map[int]*preload{}, reads: newReadQueue(self),
	}
}

// Start starts the periodic removal of expired programs.
func (m *Manager) Start(context.Context) error {
	m.background.Go(func() { kernel.Every(m.ctx, expireInterval, m.expire) })
	return nil
}

// Stop releases all slots and waits for the background work to end.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	var wg sync.WaitGroup
	for number := range m.slots {
		wg.Go(func() { m.Release(ctx, number) })
	}
	wg.Wait()
	m.awaitClaims(ctx)
	m.cancel()
	m.background.Wait()
	return nil
}

// awaitClaims waits at most drainTimeout for the claims in progress, so that what they win is released.
func (m *Manager) awaitClaims(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, drainTimeout)
	defer stop()
	m.mu.Lock()
	claims := slices.Collect(maps.Values(m.claiming))
	m.mu.Unlock()
	for _, done := range claims {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// Holds reports whether this box holds the slot now.
func (m *Manager) Holds(number int) bool {
	slot, _ := m.lookup(number)
	return slot != nil
}

// All returns the slots that this box holds.
func (m *Manager) All() []*Slot {
	m.mu.Lock()
	defer m.mu.Unlock()
	var held []*Slot
	for _, slot := range m.slots {
		if slot != nil && !slot.handedOver.Load() {
			held = append(held, slot)
		}
	}
	return held
}

// HeldCount returns the number of slots that this box holds.
func (m *Manager) HeldCount() int {
	return len(m.All())
}

// Rebalance claims the slots that this box should own and does not hold. It is called when the set of
// live boxes changes. Slots that another box should own are released when that box asks. Once the view has settled
// again after a gap, the slots that this box holds are verified.
func (m *Manager) Rebalance() {
	settled := m.boxes.Settled()
	m.mu.Lock()
	verify := settled && m.verifyDue
	m.verifyDue = !settled
	m.mu.Unlock()
	if !settled {
		return
	}
	if verify {
		for _, slot := range m.All() {
			m.startVerifying(slot.Number())
		}
	}
	for number := range m.slots {
		if m.shouldOwn(number) {
			m.startClaim(number)
		}
	}
}

// shouldOwn reports whether this box should own the slot.
func (m *Manager) shouldOwn(number int) bool {
	box, ok := m.boxes.Owner(m.layout.Name(number))
	return ok && box.Name == m.self.Name
}

// Get returns the slot if this box holds it, waiting up to claimTimeout for a claim in progress.
func (m *Manager) Get(ctx context.Context, number int) (*Slot, error) {
	if number < 0 || number >= len(m.slots) {
		return nil, fault.Refuse(fault.BadRequest, "no such slot")
	}
	slot, wait := m.lookup(number)
	if slot == nil && wait == nil && m.boxes.Settled() {
		wait = m.claimIfDue(number)
	}
	// While the view is not settled, a claim is unlikely to end soon, and the caller should try another box.
	if slot == nil && wait != nil && m.boxes.Settled() {
		select {
		case <-wait:
		case <-time.After(claimTimeout):
		case <-ctx.Done():
		}
		slot, _ = m.lookup(number)
	}
	if slot == nil {
		return nil, m.notOwner(number, "this box does not own the slot")
	}
	return slot, nil
}

// lookup returns the slot if this box holds it, and the channel of a claim in progress; nil otherwise.
func (m *Manager) lookup(number int) (*Slot, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number < 0 || number >= len(m.slots) {
		return nil, nil
	}
	slot := m.slots[number]
	if slot != nil && slot.handedOver.Load() {
		slot = nil
	}
	return slot, m.claiming[number]
}

// claimIfDue starts a claim if this box should own the slot or take it over. It returns nil if no claim is in
// progress then.
func (m *Manager) claimIfDue(number int) chan struct{} {
	if m.shouldOwn(number) {
		return m.startClaim(number)
	}
	if m.followsOnly(number, m.boxes.FailedRecently) {
		return m.startTakeover(number)
	}
	return nil
}

// startClaim starts a claim unless one is in progress. It returns a channel that is closed when the
// claim ends, or nil if the slot is held or must not be claimed now.
func (m *Manager) startClaim(number int) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startClaimLocked(number, func() {})
}

// startClaimLocked is startClaim for callers that hold mu. fenced is called without mu, once the claim has first
// fenced the previous owner off.
func (m *Manager) startClaimLocked(number int, fenced func()) chan struct{} {
	if m.slots[number] != nil || m.stopping || m.ctx.Err() != nil || time.Since(m.handedOverAt[number]) < reclaimDelay || time.Since(m.keptAt[number]) < keptDelay {
		return nil
	}
	if wait := m.claiming[number]; wait != nil {
		return wait
	}
	done := make(chan struct{})
	m.claiming[number] = done
	m.background.Go(func() { m.claimUntilHeld(number, done, sync.OnceFunc(fenced)) })
	return done
}

// claimUntilHeld retries the claim until it succeeds, the slot's owner keeps it, or the service stops; a takeover also ends if
// the failed box answers again. A slot that is won while the service stops is released.
func (m *Manager) claimUntilHeld(number int, done chan struct{}, fenced func()) {
	start := time.Now()
	var slot *Slot
	c := m.newClaim(number)
	delay := claimRetryDelay
	for m.ctx.Err() == nil && !m.isStopping() && m.goesOn(c) {
		got, err := m.acquire(c, fenced)
		if err == nil {
			slot = got
			break
		}
		if errors.Is(err, errKept) {
			m.claimLater(number)
			break
		}
		m.logger.Info("shard: claim failed", "slot", number, "cause", err)
		if !m.goesOn(c) {
			break
		}
		select {
		case <-time.After(delay/2 + rand.N(delay)):
		case <-m.ctx.Done():
		}
		delay = min(2*delay, maxClaimRetryDelay)
	}
	defer close(done)
	programs := 0
	if slot != nil {
		programs = slot.state.ProgramCount() // once the slot is held, turns change its state
	}
	if !m.endClaim(number, slot) {
		return
	}
	m.counts.Time("shard.claim_time", time.Since(start))
	m.logger.Info("shard: claimed slot", "slot", number, "epoch", slot.epoch, "programs", programs, "took", time.Since(start))
	// A box that answered again during the claim was not told by NotifyRecovered, as this box did not hold the slot then.
	if owner, ok := m.boxes.Owner(m.layout.Name(number)); ok && owner.Name != m.self.Name && !m.boxes.Failed(owner) {
		m.startNotifyTaken(owner, number, slot.epoch)
	}
}

// endClaim records the end of a claim that won the slot, or failed if slot is nil. It returns false if this box
// does not hold the slot then.
func (m *Manager) endClaim(number int, slot *Slot) bool {
	m.mu.Lock()
	delete(m.claiming, number)
	stopping := m.stopping
	if slot != nil && !stopping {
		m.slots[number] = slot
		delete(m.known, number)
	}
	m.mu.Unlock()
	if slot != nil && stopping {
		slot.release(m.ctx)
	}
	return slot != nil && !stopping
}

// isStopping reports whether Stop has been called.
func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// Deliver writes the records of a turn that began at a previous owner, if this box owns the slot.
func (m *Manager) Deliver(ctx context.Context, number int, recs []work.Record) error {
	slot, err := m.Get(ctx, number)
	if err != nil {
		return err
	}
	return slot.applyAndWrite(ctx, recs)
}

// Release releases the slot once its queued records are written, or after drainTimeout.
func (m *Manager) Release(ctx context.Context, number int) {
	m.mu.Lock()
	slot := m.slots[number]
	m.mu.Unlock()
	if slot == nil {
		return
	}
	slot.release(ctx)
}

// remove closes the slot and removes it from the held slots, unless it has been claimed anew since.
func (m *Manager) remove(slot *Slot) {
	slot.close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slots[slot.number] == slot {
		m.slots[slot.number] = nil
	}
}

// expire drops programs that have outlived their retention.
func (m *Manager) expire() {
	for number := range m.slots {
		if slot, _ := m.lookup(number); slot != nil {
			slot.expire(time.Now())
		}
	}
}

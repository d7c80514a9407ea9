package shard

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

const (
	// ownerKey is the key of the record that names the owner of a slot. It sorts after the keys of all other records, so
	// that the record can be read alone, as the only one after beforeOwnerKey.
	ownerKey       = "~owner"
	beforeOwnerKey = "~"
	// earlierOwnerKey is the key under which boxes of earlier versions write the same record. They do not read ownerKey, so
	// that they claim a slot from a box of this version without asking for it; the fence makes that safe.
	earlierOwnerKey = "owner"
)

// preloadTTL is how long after the end of its read a slot that was read ahead is kept for a claim. It exceeds the time of a confirmation.
const preloadTTL = time.Second

// ownerRecord is the value of the record with ownerKey.
type ownerRecord struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// Member is the member text of the box, which holds its address. Records of earlier versions have none.
	Member string `json:"member,omitempty"`
}

// An epoch is a counter whose low claimantBits bits are a hash of the claimant, so that two boxes that
// claim a slot concurrently do not share an epoch.
const (
	claimantBits = 20
	// maxCount is the largest count that leaves room for the steps of fence. A slot does not get near it by claims.
	maxCount = 1 << 42
	// maxFenceAttempts is enough to get above any count from 0, since each step is twice the one before.
	maxFenceAttempts = 42
)

// newEpoch returns the epoch of this box with the given count.
func (m *Manager) newEpoch(count int64) int64 {
	claimant := int64(xxhash.Sum64String(m.self.Name+m.self.Incarnation) & (1<<claimantBits - 1))
	return count<<claimantBits | claimant
}

// isEpoch reports whether a claim can have the epoch.
func isEpoch(epoch int64) bool {
	return epoch >= 0 && epoch>>claimantBits < maxCount
}

// claim is an attempt to own a slot, over all its tries.
type claim struct {
	number int
	read   *slotRead
	// ranked is set if this box should have owned the slot when the claim began. Such a claim goes on if the view changes: what it
	// has read would have to be read again by another box.
	ranked bool
	// owned is set while another box serves the slot, as far as this one knows.
	owned atomic.Bool
	// epoch is the one with which this box has fenced the previous owner off; 0 before that. previous is that owner.
	epoch    int64
	previous ownerRecord
}

// newClaim returns a claim that goes on from what Prepare has read of the slot, if anything.
func (m *Manager) newClaim(number int) *claim {
	ranked := m.shouldOwn(number)
	m.mu.Lock()
	p := m.preloads[number]
	delete(m.preloads, number)
	m.mu.Unlock()
	if p == nil {
		return &claim{number: number, read: m.newSlotRead(number), ranked: ranked}
	}
	<-p.done
	return &claim{number: number, read: p.read, ranked: ranked}
}

// goesOn reports whether the claim is still to be tried.
func (m *Manager) goesOn(c *claim) bool {
	return c.epoch != 0 || c.ranked || m.mayTakeOver(c.number)
}

// class returns how urgent it is to read the slot.
func (c *claim) class() readClass {
	switch {
	case c.epoch != 0:
		return readFenced
	case c.owned.Load():
		return readOwned
	default:
		return readOrphan
	}
}

// acquire makes this box the owner of a slot. It reads the slot, and only then asks the previous owner to release it and fences
// that owner off, so that the slot is without an owner only while the newest records are read. A takeover ends without a fence
// if the box it takes the slot from answers again meanwhile, and any claim if the owner keeps the slot, with errKept. fenced is
// called once the previous owner is fenced off. After a failure, the next try goes on from there.
func (m *Manager) acquire(c *claim, fenced func()) (*Slot, error) {
	if c.epoch == 0 {
		if err := m.readAhead(c); err != nil {
			return nil, err
		}
		if err := m.fenceOwner(c); err != nil {
			return nil, err
		}
		fenced()
	}
	if err := c.readRest(); err != nil {
		return nil, err
	}
	if c.read.loader.owner != c.previous {
		m.notifyFenced(c.number, c.read.loader.owner, c.epoch) // another box had claimed the slot meanwhile
	}
	slot := newSlot(m, c.number, c.epoch, c.read.loader.state)
	raw, err := json.Marshal(ownerRecord{Box: m.self.Name, Incarnation: m.self.Incarnation, Epoch: c.epoch, Member: m.self.Member()})
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot encode the owner record").WithCause(err)
	}
	ctx, stop := context.WithTimeout(m.ctx, callTimeout+handoverTimeout)
	defer stop()
	if err := slot.Write(ctx, []work.Record{{Key: ownerKey, Value: raw}}); err != nil {
		c.epoch = 0 // the write may still be done, or another box has fenced this one off
		return nil, err
	}
	return slot, nil
}

// readAhead reads the slot while its owner serves it. It returns errKept if that owner keeps the slot.
func (m *Manager) readAhead(c *claim) error {
	if c.read.newest.Done {
		if m.isKept(c.number, m.boxOf(c.read.loader.owner)) {
			return errKept
		}
		return nil
	}
	kept := make(chan bool, 1)
	go func() {
		owner, _ := m.LookUpOwner(m.ctx, c.number)
		_, live := m.boxes.Find(owner.Box.Name, owner.Box.Incarnation)
		c.owned.Store(live)
		kept <- m.isKept(c.number, owner)
	}()
	err := c.read.readNewest(c.class, func() bool { return !m.isStopping() && m.goesOn(c) })
	if <-kept {
		return errKept
	}
	return err
}

// fenceOwner asks the previous owner to release the slot, once this box has all records but those that the owner writes
// meanwhile, and fences it off. Another box may have claimed the slot during the read.
func (m *Manager) fenceOwner(c *claim) error {
	before := c.read.loader.owner
	err := c.read.catchUp(c.class())
	if gone := fault.Is(err, fault.HistoryGone); err != nil && (!gone || m.isLive(before)) {
		return err
	}
	if owner := c.read.loader.owner; owner != before && m.isKept(c.number, m.boxOf(owner)) {
		return errKept
	}
	c.previous = c.read.loader.owner
	ctx, stop := context.WithTimeout(m.ctx, callTimeout+handoverTimeout)
	defer stop()
	released := m.requestHandover(ctx, c.number, c.previous)
	if released {
		m.logger.Info("shard: slot handed over", "slot", c.number, "from", c.previous.Box)
	}
	if m.isStopping() {
		return fault.Refuse(fault.Stopping, "this box stops")
	}
	if !released && !c.ranked && !m.mayTakeOver(c.number) {
		return fault.Refuse(fault.NotOwner, "the failed box answers again")
	}
	epoch, err := m.fence(ctx, c.read.shard, c.previous.Epoch>>claimantBits)
	if err != nil {
		return err
	}
	c.epoch = epoch
	m.notifyFenced(c.number, c.previous, epoch)
	return nil
}

// isLive reports whether the owner that the record names is another box that can be called.
func (m *Manager) isLive(owner ownerRecord) bool {
	_, live := m.boxes.Find(owner.Box, owner.Incarnation)
	return live && owner.Box != m.self.Name
}

// readRest reads what the previous owner wrote last, once it is fenced off. If the log no longer keeps that, the slot is read
// anew, which ends, since no box writes to it.
func (c *claim) readRest() error {
	for {
		if err := c.read.readNewest(c.class, func() bool { return true }); err != nil {
			return err
		}
		err := c.read.catchUp(readFenced)
		if !fault.Is(err, fault.HistoryGone) {
			return err
		}
	}
}

// notifyFenced tells the owner that a record names that this box has fenced it off with the epoch. A box that this one takes
// for dead may run, and would go on as the owner until its next append.
func (m *Manager) notifyFenced(number int, previous ownerRecord, epoch int64) {
	if owner := m.boxOf(previous); owner.Box.Name != "" && owner.Box.Name != m.self.Name {
		m.startNotifyTaken(owner.Box, number, epoch)
	}
}

// preload is a slot that is read before it is known whether it will be claimed.
type preload struct {
	// done is closed once the read has ended, whether all of the slot was read or not.
	done chan struct{}
	read *slotRead
}

// Prepare begins to read the slot, since this box is likely to claim it soon. The claim reads only
// the rest.
func (m *Manager) Prepare(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number < 0 || number >= len(m.slots) || m.slots[number] != nil || m.claiming[number] != nil || m.preloads[number] != nil || m.stopping {
		return
	}
	p := &preload{done: make(chan struct{}), read: m.newSlotRead(number)}
	m.preloads[number] = p
	m.background.Go(func() {
		_ = p.read.readNewest(func() readClass { return m.preloadClass(number) }, func() bool { return !m.isStopping() }) // a claim reads the rest
		close(p.done)
		time.AfterFunc(preloadTTL, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.preloads[number] == p {
				delete(m.preloads, number)
			}
		})
	})
}

// preloadClass returns how urgent it is to read a slot ahead: a claim may wait for that.
func (m *Manager) preloadClass(number int) readClass {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claiming[number] != nil {
		return readOrphan
	}
	return readOwned
}

// requestHandover asks the previous owner to release the slot, if it is alive. The claim continues
// without an answer, since the fence prevents further writes by the previous owner.
func (m *Manager) requestHandover(ctx context.Context, number int, previous ownerRecord) bool {
	box, ok := m.boxes.Find(previous.Box, previous.Incarnation)
	if !ok || box.Name == m.self.Name {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, handoverTimeout)
	defer stop()
	if err := m.peers.Handover(ctx, box, number, work.Owner{Box: m.self, Epoch: previous.Epoch}); err != nil {
		m.logger.Warn("shard: slot not handed over", "slot", number, "from", box.Name, "cause", err)
		return false
	}
	return true
}

// fence opens an epoch above count in the log and returns it. If the log holds a newer epoch, it retries with
// larger counts, in at most maxFenceAttempts attempts.
func (m *Manager) fence(ctx context.Context, shard work.Shard, count int64) (int64, error) {
	var err error
	step := int64(1)
	for range maxFenceAttempts {
		count += step
		epoch := m.newEpoch(count)
		err = m.log.Append(ctx, shard, work.Writer{Epoch: epoch}, nil)
		if err == nil {
			return epoch, nil
		}
		if !fault.Is(err, fault.NotOwner) {
			return 0, err
		}
		step *= 2
	}
	return 0, err
}

// slotLoader rebuilds the state of a slot from its records.
type slotLoader struct {
	state   *chain.State
	owner   ownerRecord
	manager *Manager
}

func (l *slotLoader) apply(rec work.Record) {
	if rec.Key == ownerKey || rec.Key == earlierOwnerKey {
		l.applyOwner(rec.Value)
		return
	}
	if err := l.state.Apply(rec); err != nil {
		l.manager.logger.Error("shard: malformed record in the log", "key", rec.Key, "cause", err)
	}
}

// applyOwner applies the value of an owner record. A malformed one leaves the owner as it was: an epoch that no claim can
// have would keep all further claims from getting above it.
func (l *slotLoader) applyOwner(raw []byte) {
	var owner ownerRecord
	err := json.Unmarshal(raw, &owner)
	if err == nil && !isEpoch(owner.Epoch) {
		err = fault.Fail(fault.Protocol, "the epoch is out of range")
	}
	if err != nil {
		l.manager.logger.Error("shard: malformed owner record in the log", "cause", err)
		return
	}
	// Boxes of earlier versions write only the record with the earlier key.
	if owner.Epoch >= l.owner.Epoch {
		l.owner = owner
	}
}

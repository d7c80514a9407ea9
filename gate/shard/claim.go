package shard

import (
	"context"
	"encoding/json"
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

// acquire makes this box the owner of a slot. It asks the previous owner to release the slot, fences it
// off, and only then reads the records that the previous owner wrote last. A takeover ends without a fence if the box
// it takes the slot from answers again meanwhile, and any claim if the owner keeps the slot, with errKept. fenced is called
// once the previous owner is fenced off.
func (m *Manager) acquire(number int, fenced func()) (*Slot, error) {
	ranked, _ := m.boxes.Owner(m.layout.Name(number))
	shard := work.Shard{Topic: work.Turns, Number: number}
	loader, next, kept, err := m.load(number)
	if kept {
		return nil, errKept
	}
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(m.ctx, callTimeout+handoverTimeout)
	defer stop()
	released := m.requestHandover(ctx, number, loader.owner)
	if released {
		// The previous owner may have written many records after the load; catchUp reads them.
		m.logger.Info("shard: slot handed over", "slot", number, "from", loader.owner.Box)
	}
	if m.isStopping() {
		return nil, fault.Refuse(fault.Stopping, "this box stops")
	}
	if ranked.Name != m.self.Name && !released && !m.mayTakeOver(number) {
		return nil, fault.Refuse(fault.NotOwner, "the failed box answers again")
	}
	epoch, err := m.fence(ctx, shard, loader.owner.Epoch>>claimantBits)
	if err != nil {
		return nil, err
	}
	fenced()
	if !released {
		m.notifyFenced(number, loader.owner, epoch)
	}
	loaded := loader.owner
	if err := m.catchUp(shard, next, loader); err != nil {
		return nil, err
	}
	if loader.owner != loaded {
		m.notifyFenced(number, loader.owner, epoch) // another box had claimed the slot meanwhile
	}
	slot := newSlot(m, number, epoch, loader.state)
	raw, err := json.Marshal(ownerRecord{Box: m.self.Name, Incarnation: m.self.Incarnation, Epoch: epoch, Member: m.self.Member()})
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot encode the owner record").WithCause(err)
	}
	return slot, slot.Write(ctx, []work.Record{{Key: ownerKey, Value: raw}})
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
	// done is closed once the other fields are set.
	done   chan struct{}
	loader *slotLoader
	next   int64
	err    error
}

// Prepare begins to read the slot, since this box is likely to claim it soon. The claim reads only
// what was written since.
func (m *Manager) Prepare(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number < 0 || number >= len(m.slots) || m.slots[number] != nil || m.claiming[number] != nil || m.preloads[number] != nil || m.stopping {
		return
	}
	p := &preload{done: make(chan struct{})}
	m.preloads[number] = p
	m.background.Go(func() {
		p.loader, p.next, p.err = m.read(number)
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

// load returns the records of the slot, as read by Prepare or read now, the offset from which catchUp reads
// the rest, and whether the slot's owner keeps it.
func (m *Manager) load(number int) (loader *slotLoader, next int64, kept bool, err error) {
	m.mu.Lock()
	p := m.preloads[number]
	delete(m.preloads, number)
	m.mu.Unlock()
	if p != nil {
		<-p.done
		if p.err == nil {
			return p.loader, p.next, m.isKept(number, m.boxOf(p.loader.owner)), nil
		}
	}
	asked := make(chan bool, 1)
	go func() {
		owner, _ := m.LookUpOwner(m.ctx, number)
		asked <- m.isKept(number, owner)
	}()
	loader, next, err = m.read(number)
	return loader, next, <-asked, err
}

// read reads all records of the slot. Only single calls to the log have a timeout. With a limit on the whole, a
// slot too large to load in time could never be claimed.
func (m *Manager) read(number int) (*slotLoader, int64, error) {
	loader := &slotLoader{state: chain.New(), manager: m}
	next, err := work.AllNewest(m.ctx, m.log, work.Shard{Topic: work.Turns, Number: number}, callTimeout, loader.apply)
	return loader, next, err
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

// catchUp applies the records written since offset next. If the log no longer keeps them, it loads the
// slot anew. As in read, only single calls to the log have a timeout.
func (m *Manager) catchUp(shard work.Shard, next int64, loader *slotLoader) error {
	for {
		page, err := m.readPage(shard, next)
		if fault.Is(err, fault.HistoryGone) {
			*loader = slotLoader{state: chain.New(), manager: m}
			_, err = work.AllNewest(m.ctx, m.log, shard, callTimeout, loader.apply)
			return err
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && !page.Behind() {
			return nil
		}
		if page.Next <= next {
			return fault.Fail(fault.LogUnavailable, "the log returned none of the slot's records")
		}
		for _, rec := range page.Records {
			loader.apply(rec)
		}
		next = page.Next
	}
}

func (m *Manager) readPage(shard work.Shard, next int64) (work.Page, error) {
	ctx, stop := context.WithTimeout(m.ctx, callTimeout)
	defer stop()
	return m.log.Read(ctx, shard, next, 0)
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

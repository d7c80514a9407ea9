package shard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// knownOwnerTTL is how long what another box said of a slot's owner is used without being confirmed. Boxes whose views
	// differ agree sooner than that.
	knownOwnerTTL = 5 * time.Second
	// lookupInterval is the least time between two reads of a slot's owner from the log.
	lookupInterval = 200 * time.Millisecond
	// lookupTimeout bounds such a read: a call waits for it.
	lookupTimeout = 400 * time.Millisecond
)

// knownOwner is the owner of a slot as far as this box knows, and when it learned that.
type knownOwner struct {
	work.Owner
	at time.Time
}

// LearnOwner records which other box owns the slot, unless this box knows of a later claim.
func (m *Manager) LearnOwner(number int, owner work.Owner) {
	if owner.Box.Name == "" || owner.Box.Name == m.self.Name || number < 0 || number >= len(m.slots) {
		return
	}
	if !isEpoch(owner.Epoch) {
		owner.Epoch = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner.Epoch >= m.known[number].Epoch {
		m.known[number] = knownOwner{Owner: owner, at: time.Now()}
	}
}

// KnownOwner returns the box that owns the slot as far as this one has learned lately; false if it does not know.
func (m *Manager) KnownOwner(number int) (work.Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := m.known[number]
	return have.Owner, have.Box.Name != "" && time.Since(have.at) < knownOwnerTTL
}

// ForgetOwner discards what is known of the slot's owner, since the box did not serve a turn as such.
func (m *Manager) ForgetOwner(number int, box work.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have := m.known[number]; have.Box.Name == box.Name {
		have.at = time.Time{} // the epoch still tells later claims from earlier ones
		m.known[number] = have
	}
}

// notOwner returns the refusal of a turn on a slot that this box does not own. It names the owner if this box knows it,
// or else the box that should own the slot.
func (m *Manager) notOwner(number int, detail string) error {
	refusal := fault.Refuse(fault.NotOwner, detail).WithRetryAfter(retryAfter)
	if owner, ok := m.KnownOwner(number); ok {
		return &work.MovedError{Owner: owner, Cause: refusal}
	}
	if box, ok := m.boxes.Owner(m.layout.Name(number)); ok && box.Name != m.self.Name && m.boxes.Settled() {
		return &work.MovedError{Owner: work.Owner{Box: box}, Cause: refusal}
	}
	return refusal
}

// learnFrom records the owner that the error names, if any.
func (m *Manager) learnFrom(number int, err error) {
	var moved *work.MovedError
	if errors.As(err, &moved) {
		m.LearnOwner(number, moved.Owner)
	}
}

// ownerLookup is a read of a slot's owner from the log.
type ownerLookup struct {
	startedAt time.Time
	// done is closed once the other fields are set.
	done  chan struct{}
	owner work.Owner
	err   error
}

// LookUpOwner reads from the log which box claimed the slot last. Callers share a read, and a recent result. It returns
// false if the log does not answer or the slot was never claimed.
func (m *Manager) LookUpOwner(ctx context.Context, number int) (work.Owner, bool) {
	lookup := m.startLookup(number)
	select {
	case <-lookup.done:
	case <-ctx.Done():
		return work.Owner{}, false
	}
	return lookup.owner, lookup.err == nil && lookup.owner.Box.Name != ""
}

// startLookup returns the read of the slot's owner that is in progress or recent, or starts one.
func (m *Manager) startLookup(number int) *ownerLookup {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.lookups[number]; last != nil && time.Since(last.startedAt) < lookupInterval {
		return last
	}
	lookup := &ownerLookup{startedAt: time.Now(), done: make(chan struct{})}
	if m.stopping {
		lookup.err = fault.Refuse(fault.Stopping, "this box stops")
		close(lookup.done)
		return lookup
	}
	m.lookups[number] = lookup
	m.background.Go(func() {
		defer close(lookup.done)
		ctx, stop := context.WithTimeout(m.ctx, lookupTimeout)
		defer stop()
		lookup.owner, lookup.err = m.readOwner(ctx, number)
		if lookup.err != nil {
			m.logger.Info("shard: owner of a slot not read from the log", "slot", number, "cause", lookup.err)
			return
		}
		m.LearnOwner(number, lookup.owner)
	})
	return lookup
}

// readOwner reads the newest owner record of the slot. The owner is zero if there is none.
func (m *Manager) readOwner(ctx context.Context, number int) (work.Owner, error) {
	batch, err := m.log.Newest(ctx, work.Shard{Topic: work.Turns, Number: number}, beforeOwnerKey)
	if err != nil {
		return work.Owner{}, err
	}
	loader := &slotLoader{manager: m}
	for _, rec := range batch.Records {
		if rec.Key == ownerKey {
			loader.applyOwner(rec.Value)
		}
	}
	return m.boxOf(loader.owner), nil
}

// boxOf returns the owner that a record names. Records of earlier versions do not hold the address of the box, which is
// then known only while the box is live.
func (m *Manager) boxOf(rec ownerRecord) work.Owner {
	owner := work.Owner{Epoch: rec.Epoch}
	if box, err := work.ParseMember(rec.Member); err == nil && box.Name == rec.Box {
		owner.Box = box
	} else if box, ok := m.boxes.Find(rec.Box, rec.Incarnation); ok {
		owner.Box = box
	}
	return owner
}

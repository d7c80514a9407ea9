package shard

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// keepsTimeout bounds the question whether an owner keeps its slot. A live box of the region answers within a few
// milliseconds, and a claim from a box without power waits no longer than this.
const keepsTimeout = 100 * time.Millisecond

// errKept ends a claim since the owner of the slot is alive and keeps it: the views of both boxes differ.
var errKept error = fault.Refuse(fault.NotOwner, "the owner keeps the slot")

// isKept asks the owner that the log names whether it keeps the slot, even if this box's view does not have it: a view may
// lack a box that works, and to fence that off would end its turns.
func (m *Manager) isKept(number int, owner work.Owner) bool {
	if owner.Box.Name == "" || owner.Box.Name == m.self.Name || m.boxes.Failed(owner.Box) {
		return false
	}
	ctx, stop := context.WithTimeout(m.ctx, keepsTimeout)
	defer stop()
	keeps, err := m.peers.Keeps(ctx, owner.Box, number, work.Owner{Box: m.self, Epoch: owner.Epoch})
	if err != nil || !keeps {
		return false
	}
	m.logger.Info("shard: slot kept by its owner", "slot", number, "owner", owner.Box.Name)
	m.LearnOwner(number, owner)
	return true
}

// Keeps reports whether this box owns the slot and keeps it from the claimant: it should own the slot by its own view, in
// which the claimant comes after it. A claimant that knows of a later claim shows that this box has lost the slot.
func (m *Manager) Keeps(number int, claimant work.Owner) bool {
	slot, _ := m.lookup(number)
	if slot == nil || !m.boxes.Settled() || m.isStopping() {
		return false
	}
	if slot.epoch < claimant.Epoch {
		slot.doubtOwnership()
		m.startVerifying(number)
		return false
	}
	for _, box := range m.boxes.Owners(m.layout.Name(number), maxCandidates) {
		if box.Name == m.self.Name {
			return true
		}
		if box.Name == claimant.Box.Name || !m.boxes.Failed(box) {
			return false
		}
	}
	return false
}

// claimLater asks for the slot again after keptDelay, if this box should own it then.
func (m *Manager) claimLater(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keptAt[number] = time.Now()
	if m.stopping {
		return
	}
	m.background.Go(func() {
		select {
		case <-time.After(keptDelay):
		case <-m.ctx.Done():
			return
		}
		if m.boxes.Settled() && m.shouldOwn(number) {
			m.startClaim(number)
		}
	})
}

package shard

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// takeBackDelay is how long a claimant may take to fence off the owner that has released the slot to it, before that one
	// serves the slot again.
	takeBackDelay = time.Second
	// takeBackRetryDelay is the time between two tries to find out whether it did.
	takeBackRetryDelay = 500 * time.Millisecond
	// keepAfterTakeBack is how long a slot that was taken back is not released again. A claimant that can claim it may fence
	// this box off without that; one that can't would keep the slot from being served.
	keepAfterTakeBack = 15 * time.Second
)

// Handover releases the slot to the claimant; see Slot.handOver. Boxes of earlier versions do not name themselves.
func (m *Manager) Handover(ctx context.Context, number int, claimant work.Owner) error {
	if number < 0 || number >= len(m.slots) {
		return fault.Refuse(fault.BadRequest, "no such slot")
	}
	m.mu.Lock()
	slot, stopping := m.slots[number], m.stopping
	if slot != nil && !stopping && time.Since(m.takenBackAt[number]) < keepAfterTakeBack {
		m.mu.Unlock()
		return fault.Refuse(fault.Overloaded, "the slot was released before and not claimed")
	}
	m.handedOverAt[number] = time.Now()
	if slot != nil {
		claimant.Epoch = max(claimant.Epoch, slot.epoch)
	}
	m.mu.Unlock()
	m.LearnOwner(number, claimant)
	if slot == nil {
		return nil
	}
	if stopping {
		slot.release(ctx)
		return nil
	}
	slot.handOver(ctx, claimant)
	return nil
}

// handOver refuses new turns once the queued records are written, or after drainTimeout, so that the claimant can fence this box
// off. The slot stays here until the log shows that it did: a claimant that has failed meanwhile leaves it to this box.
func (s *Slot) handOver(ctx context.Context, claimant work.Owner) {
	start := time.Now()
	s.handedOver.Store(true)
	drained := s.drain(ctx)
	s.manager.logger.Info("shard: released slot", "slot", s.number, "whole", drained, "took", time.Since(start))
	s.manager.startTakeBack(s, claimant)
}

// takeBack waits until the claimant has fenced this box off, or serves the slot again.
func (s *Slot) takeBack(ctx context.Context, claimant work.Owner) {
	for delay := takeBackDelay; ; delay = takeBackRetryDelay {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		if s.isLost() || s.manager.isStopping() {
			return
		}
		if s.ConfirmOwnership(ctx) != nil {
			continue // it is fenced off, or the log does not say
		}
		s.mu.Lock()
		s.closing = false
		s.state.Reopen()
		s.mu.Unlock()
		s.manager.recordTakeBack(s.number)
		s.handedOver.Store(false)
		s.manager.ForgetOwner(s.number, claimant.Box)
		s.manager.counts.Count("shard.taken_back", 1)
		s.manager.logger.Warn("shard: slot taken back, the next owner did not claim it", "slot", s.number, "from", claimant.Box.Name)
		return
	}
}

// recordTakeBack records that the slot was taken back.
func (m *Manager) recordTakeBack(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takenBackAt[number] = time.Now()
}

// startTakeBack takes the slot back in the background unless the claimant to which it was released claims it.
func (m *Manager) startTakeBack(slot *Slot, claimant work.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopping {
		m.background.Go(func() { slot.takeBack(m.ctx, claimant) })
	}
}

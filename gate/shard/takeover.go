package shard

import (
	"context"
	"maps"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// takeover identifies a slot and the box that should own it. A restarted box counts as another one.
type takeover struct {
	number           int
	box, incarnation string
}

// takeoverStreak is a number of takeovers from the same box and the time of the last.
type takeoverStreak struct {
	last  time.Time
	count int
}

// delay returns the least time until the next takeover.
func (s takeoverStreak) delay() time.Duration {
	delay := takeoverDelay
	for n := 1; n < s.count && delay < maxTakeoverDelay; n++ {
		delay *= 2
	}
	return min(delay, maxTakeoverDelay)
}

// mayTakeOver reports whether a claim of the slot may go on: this box should own it but for boxes whose failure has been
// confirmed.
func (m *Manager) mayTakeOver(number int) bool {
	return m.followsOnly(number, m.boxes.Failed)
}

// followsOnly reports whether all boxes that should rather own the slot than this one are failed ones.
func (m *Manager) followsOnly(number int, failed func(box work.Box) bool) bool {
	for _, box := range m.boxes.Owners(m.layout.Name(number), maxCandidates) {
		if box.Name == m.self.Name {
			return true
		}
		if !failed(box) {
			return false
		}
	}
	return false
}

// startTakeover starts a claim as startClaim does, unless the last takeover of the slot from the same box is too
// recent.
func (m *Manager) startTakeover(number int) chan struct{} {
	owner, _ := m.boxes.Owner(m.layout.Name(number))
	m.mu.Lock()
	defer m.mu.Unlock()
	if wait := m.claiming[number]; wait != nil {
		return wait
	}
	maps.DeleteFunc(m.takeovers, func(_ takeover, streak takeoverStreak) bool { return time.Since(streak.last) >= takeoverReset })
	key := takeover{number: number, box: owner.Name, incarnation: owner.Incarnation}
	streak := m.takeovers[key]
	if streak.count > 0 && time.Since(streak.last) < streak.delay() {
		return nil
	}
	wait := m.startClaimLocked(number, func() { m.countTakeover(key) })
	if wait != nil {
		m.counts.Count("shard.takeovers", 1)
		m.logger.Warn("shard: taking over slot of a failed box", "slot", number, "owner", owner.Name, "takeovers", streak.count+1)
	}
	return wait
}

// countTakeover counts a takeover, once it has fenced the owner off. One that was given up before has taken nothing.
func (m *Manager) countTakeover(key takeover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takeovers[key] = takeoverStreak{last: time.Now(), count: m.takeovers[key].count + 1}
}

// NotifyTaken verifies that this box still owns the slot, after the given one has announced that it took it over. Boxes
// of earlier versions do not name themselves.
func (m *Manager) NotifyTaken(number int, owner work.Owner) error {
	if number < 0 || number >= len(m.slots) {
		return fault.Refuse(fault.BadRequest, "no such slot")
	}
	m.LearnOwner(number, owner)
	if slot, _ := m.lookup(number); slot != nil {
		slot.doubtOwnership()
	}
	m.startVerifying(number)
	return nil
}

// startVerifying verifies in the background that this box still owns the slot, if it holds it. Otherwise it drops
// the slot before a turn runs on it in vain, and claims it anew if it should own it.
func (m *Manager) startVerifying(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.slots[number]
	if slot == nil || m.stopping {
		return
	}
	m.background.Go(func() {
		if err := slot.ConfirmOwnership(m.ctx); fault.Is(err, fault.NotOwner) && slot.isLost() && m.boxes.Settled() && m.shouldOwn(number) {
			m.startClaim(number)
		}
	})
}

// NotifyRecovered tells a box whose failure is over which of its slots this box has taken over. It would learn that
// only from the failure of its next turn.
func (m *Manager) NotifyRecovered(box work.Box) {
	for _, slot := range m.All() {
		owner, ok := m.boxes.Owner(m.layout.Name(slot.Number()))
		if !ok || owner.Name != box.Name {
			continue
		}
		m.startNotifyTaken(box, slot.Number(), slot.epoch)
	}
}

func (m *Manager) startNotifyTaken(box work.Box, number int, epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopping {
		m.background.Go(func() { m.notifyTaken(box, number, epoch) })
	}
}

func (m *Manager) notifyTaken(box work.Box, number int, epoch int64) {
	ctx, stop := context.WithTimeout(m.ctx, handoverTimeout)
	defer stop()
	if err := m.peers.NotifyTaken(ctx, box, number, work.Owner{Box: m.self, Epoch: epoch}); err != nil {
		m.logger.Info("shard: cannot tell a box that its slot was taken over", "slot", number, "to", box.Name, "cause", err)
	}
}

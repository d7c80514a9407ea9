package view

import (
	"time"

	"mulleingate.dev/gate/work"
)

// failureStreak holds when the first and the last of a box's recent failed calls happened.
type failureStreak struct{ first, last time.Time }

// MarkUnreachable records that a call failed to reach the box.
func (v *View) MarkUnreachable(box work.Box) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	streak, ok := v.failures[box.Name]
	if !ok {
		streak.first = now
	}
	streak.last = now
	v.failures[box.Name] = streak
}

// RecentlyUnreachable reports whether a call failed to reach the box within unreachableBackoff. Callers then
// skip the box instead of waiting for another failure.
func (v *View) RecentlyUnreachable(box work.Box) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	streak, ok := v.failures[box.Name]
	return ok && time.Since(streak.last) < unreachableBackoff
}

// failingSince returns when the first of the box's recent failed calls happened; false if there was none.
func (v *View) failingSince(box work.Box) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	streak, ok := v.failures[box.Name]
	return streak.first, ok
}

// TakeoverIn estimates how long it takes until a slot of the box has another owner or, for this box, until
// it may claim slots itself.
func (v *View) TakeoverIn(box work.Box) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	remaining := time.Duration(0)
	if box.Name == v.self.Name {
		remaining = time.Until(v.answeringSince.Add(v.settlePeriod()))
	} else if streak, ok := v.failures[box.Name]; ok {
		remaining = time.Until(streak.first.Add(v.memberTTL() + v.timing.HeartbeatInterval))
	}
	return max(remaining, 0) + claimDuration
}

package view

import (
	"time"

	"mulleingate.dev/gate/work"
)

// failure is a row of failed calls to a box.
type failure struct{ first, last time.Time }

// Unreached notes that a call to the box failed to reach it.
func (v *View) Unreached(box work.Box) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	f, ok := v.unreached[box.Name]
	if !ok {
		f.first = now
	}
	f.last = now
	v.unreached[box.Name] = f
}

// JustUnreached reports that the box could not be reached a moment ago. Another try would keep a
// caller waiting for nothing.
func (v *View) JustUnreached(box work.Box) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	f, ok := v.unreached[box.Name]
	return ok && time.Since(f.last) < retryUnreached
}

// TakeoverIn is how long it takes until a slot of the box is likely to have another owner, or
// until this box itself may claim its slots.
func (v *View) TakeoverIn(box work.Box) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	left := time.Duration(0)
	if box.Name == v.self.Name {
		left = time.Until(v.since.Add(v.quarantine()))
	} else if f, ok := v.unreached[box.Name]; ok {
		left = time.Until(f.first.Add(v.hold() + v.timing.Beat))
	}
	return max(left, 0) + claimTime
}

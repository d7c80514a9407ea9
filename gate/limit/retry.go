package limit

import (
	"sync"
	"time"
)

// Retries limits retries to a share of the calls plus a small constant rate, so that they do not
// amplify an overload. It is safe for concurrent use.
type Retries struct {
	// share is the number of retries earned per call; capacity is the most that can be saved up.
	share, capacity float64
	// rate is the number of retries earned per second, regardless of calls.
	rate float64

	mu         sync.Mutex
	budget     float64
	refilledAt time.Time
}

// NewRetries returns a budget that is full.
func NewRetries(share, rate, capacity float64) *Retries {
	return &Retries{share: share, rate: rate, capacity: capacity, budget: capacity, refilledAt: time.Now()}
}

// Call records the first attempt of a call, which earns its share of a retry.
func (r *Retries) Call() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = min(r.capacity, r.budget+r.share)
}

// Allow takes one retry from the budget and returns true, or returns false if there is none.
func (r *Retries) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.budget = min(r.capacity, r.budget+r.rate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

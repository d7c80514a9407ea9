package limit

import (
	"sync"
	"time"
)

// RetryBudget limits retries to a share of the calls plus a small constant rate, so that they do not
// amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	// share is the number of retries earned per call; capacity is the maximum of budget.
	share, capacity float64
	// rate is the number of retries earned per second, regardless of calls.
	rate float64

	mu sync.Mutex
	// budget is the number of retries that are allowed now; refilledAt is when rate was last added.
	budget     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that is full.
func NewRetryBudget(share, rate, capacity float64) *RetryBudget {
	return &RetryBudget{share: share, rate: rate, capacity: capacity, budget: capacity, refilledAt: time.Now()}
}

// RecordCall records the first attempt of a call, which earns its share of a retry.
func (r *RetryBudget) RecordCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = min(r.capacity, r.budget+r.share)
}

// Allow takes one retry from the budget and returns true, or returns false if there is none.
func (r *RetryBudget) Allow() bool {
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

package limit

import (
	"sync"
	"time"
)

// RetryBudget is a budget for retries: a share of the calls plus a small rate, so that
// retries never multiply an overload.
type RetryBudget struct {
	// share of calls that may be retries, and how many are saved up at most.
	share, most float64
	// rate is in retries a second that are allowed whatever the calls.
	rate float64

	mu    sync.Mutex
	left  float64
	since time.Time
}

// NewRetryBudget makes a budget that starts full.
func NewRetryBudget(share, rate, most float64) *RetryBudget {
	return &RetryBudget{share: share, rate: rate, most: most, left: most, since: time.Now()}
}

// RecordCall notes a first attempt.
func (r *RetryBudget) RecordCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = min(r.most, r.left+r.share)
}

// Allow takes one retry from the budget, if there is one.
func (r *RetryBudget) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.left = min(r.most, r.left+r.rate*now.Sub(r.since).Seconds())
	r.since = now
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

package plain

import (
	"context"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// keyedRun is one run of a call with a key, and the callers that wait for it.
type keyedRun struct {
	attempt string
	done    chan struct{}
	answer  types.ServiceAnswer
	err     error

	mu sync.Mutex
	// callers is the number of waiting callers. The run is not dispatched if there are none.
	callers    int
	dispatched bool
}

func newKeyedRun(attempt string) *keyedRun {
	return &keyedRun{attempt: attempt, done: make(chan struct{}), callers: 1}
}

// Attempt implements desk.Run.
func (r *keyedRun) Attempt() string {
	return r.attempt
}

// markDispatched marks the call as dispatched and returns true if a caller still waits for it.
// After that, no caller that gives up is told that the call was not run.
func (r *keyedRun) markDispatched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatched = r.callers > 0
	return r.dispatched
}

func (r *keyedRun) finish(answer types.ServiceAnswer, err error) {
	r.answer, r.err = answer, err
	close(r.done)
}

// join adds a caller and waits like wait.
func (r *keyedRun) join(ctx context.Context) (types.ServiceAnswer, error) {
	r.mu.Lock()
	r.callers++
	r.mu.Unlock()
	return r.wait(ctx)
}

// wait waits for the answer. A caller that gives up before dispatch gets an error with NotRun.
func (r *keyedRun) wait(ctx context.Context) (types.ServiceAnswer, error) {
	dispatchCtx, stop := context.WithTimeout(ctx, intentTimeout)
	defer stop()
	select {
	case <-r.done:
		return r.answer, r.err
	case <-dispatchCtx.Done():
	}
	if r.abandon() {
		return types.ServiceAnswer{}, fault.Refuse(fault.LogUnavailable, "the log did not confirm the intent in time").WithRetryAfter(intentTimeout)
	}
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return types.ServiceAnswer{}, fault.Fail(fault.DeadlineMissed, "the call is still running").WithCause(ctx.Err())
	}
}

// abandon removes a caller and returns true, or returns false if the call was dispatched.
func (r *keyedRun) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dispatched {
		return false
	}
	r.callers--
	return true
}

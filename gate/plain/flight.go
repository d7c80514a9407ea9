package plain

import (
	"context"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// flight is one run of a keyed call and the callers that wait for it.
type flight struct {
	attempt string
	done    chan struct{}
	answer  types.ServiceAnswer
	err     error

	mu sync.Mutex
	// callers wait for the run. Without any, it is never dispatched.
	callers    int
	dispatched bool
}

func newFlight(attempt string) *flight {
	return &flight{attempt: attempt, done: make(chan struct{}), callers: 1}
}

// Attempt implements desk.Run.
func (f *flight) Attempt() string {
	return f.attempt
}

// dispatch says whether the call may be handed to a target now. Once it has said yes, no
// caller is told that the call was not run.
func (f *flight) dispatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatched = f.callers > 0
	return f.dispatched
}

func (f *flight) finish(answer types.ServiceAnswer, err error) {
	f.answer, f.err = answer, err
	close(f.done)
}

// join is wait for a caller other than the first.
func (f *flight) join(ctx context.Context) (types.ServiceAnswer, error) {
	f.mu.Lock()
	f.callers++
	f.mu.Unlock()
	return f.wait(ctx)
}

// wait returns the answer. A caller that goes before dispatch is told that nothing ran.
func (f *flight) wait(ctx context.Context) (types.ServiceAnswer, error) {
	limit, stop := context.WithTimeout(ctx, intentWait)
	defer stop()
	select {
	case <-f.done:
		return f.answer, f.err
	case <-limit.Done():
	}
	if f.leave() {
		return types.ServiceAnswer{}, fault.Refuse(fault.LogUnavailable, "the log has not taken the intent in time").WithRetryAfter(intentWait)
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return types.ServiceAnswer{}, fault.Fail(fault.DeadlineMissed, "the call is still running").WithCause(ctx.Err())
	}
}

// leave reports whether the caller goes before dispatch.
func (f *flight) leave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatched {
		return false
	}
	f.callers--
	return true
}

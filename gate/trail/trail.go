package trail

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/types"
)

// Trail is the service.
type Trail struct {
	mu    sync.Mutex
	steps []types.TraceEvent
	next  int
}

// New makes a trail that keeps the last size steps.
func New(size int) *Trail {
	return &Trail{steps: make([]types.TraceEvent, size)}
}

// Start implements a service.
func (t *Trail) Start(context.Context) error {
	return nil
}

// Stop implements a service.
func (t *Trail) Stop(context.Context) error {
	return nil
}

// Record keeps a step.
func (t *Trail) Record(step types.TraceEvent) {
	step.At = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps[t.next] = step
	t.next = (t.next + 1) % len(t.steps)
}

// Find returns the steps of a program or request, oldest first.
func (t *Trail) Find(id string) []types.TraceEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []types.TraceEvent
	for i := range t.steps {
		step := t.steps[(t.next+i)%len(t.steps)]
		if !step.At.IsZero() && (step.Program == id || step.Request == id) {
			out = append(out, step)
		}
	}
	return out
}

package trail

import (
	"context"
	"sync"
	"time"

	"mulleingate.dev/base/types"
)

// Trail is the service that stores trace events. It is safe for concurrent use.
type Trail struct {
	mu sync.Mutex
	// ring is a circular buffer; unused entries are zero.
	ring []types.TraceEvent
	// next is the index of the next entry to overwrite.
	next int
}

// New returns a trail that stores the last size events. size must be positive.
func New(size int) *Trail {
	return &Trail{ring: make([]types.TraceEvent, size)}
}

// Start implements kernel.Service.
func (t *Trail) Start(context.Context) error {
	return nil
}

// Stop implements kernel.Service.
func (t *Trail) Stop(context.Context) error {
	return nil
}

// Record stores an event with the current time, in place of the oldest one.
func (t *Trail) Record(event types.TraceEvent) {
	event.At = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring[t.next] = event
	t.next = (t.next + 1) % len(t.ring)
}

// Find returns the events of a program or request, oldest first.
func (t *Trail) Find(id string) []types.TraceEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []types.TraceEvent
	for i := range t.ring {
		event := t.ring[(t.next+i)%len(t.ring)]
		if !event.At.IsZero() && (event.Program == id || event.Request == id) {
			out = append(out, event)
		}
	}
	return out
}

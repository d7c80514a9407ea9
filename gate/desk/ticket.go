package desk

import (
	"context"
	"sync"

	"mulleingate.dev/base/fault"
)

// Ticket reports when the log has confirmed the records of an operation. It is safe for
// concurrent use.
type Ticket struct {
	once sync.Once
	done chan struct{}
	err  error
}

// NewTicket returns a ticket whose result is pending.
func NewTicket() *Ticket {
	return &Ticket{done: make(chan struct{})}
}

// Resolve sets the result: nil once the records are confirmed. Only the first call counts.
func (t *Ticket) Resolve(err error) {
	t.once.Do(func() {
		t.err = err
		close(t.done)
	})
}

// Wait returns nil once the log has confirmed the records, not_owner if the slot was lost,
// and log_unavailable if ctx ends first.
func (t *Ticket) Wait(ctx context.Context) error {
	select {
	case <-t.done:
		return t.err
	default:
	}
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return fault.Refuse(fault.LogUnavailable, "the log did not confirm the records in time").WithCause(ctx.Err())
	}
}

// Done returns a channel that is closed when the result is set.
func (t *Ticket) Done() <-chan struct{} {
	return t.done
}

package desk

import (
	"context"
	"sync"

	"mulleingate.dev/base/fault"
)

// Ticket tells when the records of an operation are in the log.
type Ticket struct {
	once sync.Once
	done chan struct{}
	err  error
}

// NewTicket makes a ticket whose fate is open.
func NewTicket() *Ticket {
	return &Ticket{done: make(chan struct{})}
}

// Close tells the fate of the records; only the first call counts.
func (t *Ticket) Close(err error) {
	t.once.Do(func() {
		t.err = err
		close(t.done)
	})
}

// Wait returns nil once the records are in the log, not_owner if the slot was lost, and
// log_unavailable if ctx ends first.
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
		return fault.Refuse(fault.LogUnavailable, "the log has not confirmed in time").WithCause(ctx.Err())
	}
}

// Done is closed when the fate of the records is known.
func (t *Ticket) Done() <-chan struct{} {
	return t.done
}

package desk

import (
	"time"

	"mulleingate.dev/base/types"
)

// Op reads and updates the state of a slot and returns the records that it applied. It
// runs alone, in the slot's event loop, and must not block.
type Op func(now time.Time, s *OwnerState) ([]types.Record, error)

// Mode says when the records of an operation are appended, and whether the operation is
// accepted while the log is unavailable or the slot is being released.
type Mode int

// The modes.
const (
	// Lazy records are delayed for a short time to be appended in a batch.
	Lazy Mode = iota
	// Durable records are appended at once. The operation is refused while the log is
	// unavailable.
	Durable
	// Finish is for completing work that was accepted. The operation is accepted during a
	// release and while the log is unavailable; its records are batched.
	Finish
	// Urgent is like Finish, but its records are appended at once.
	Urgent
)

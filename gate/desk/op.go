package desk

import (
	"time"

	"mulleingate.dev/base/types"
)

// Op is a decision on a slot's memory. It runs alone, in the slot's event loop, and
// returns the records that it has applied. It must not block.
type Op func(now time.Time, d *Desk) ([]types.Record, error)

// Mode says what an operation needs of the log.
type Mode int

// The modes.
const (
	// Lazy records wait a little for company.
	Lazy Mode = iota
	// Durable records are written at once; the operation is refused while the log is away.
	Durable
	// Finish ends work that was accepted: it is taken during a release and while the log
	// is away, and its records wait for company.
	Finish
	// Urgent is Finish with records that are written at once.
	Urgent
)

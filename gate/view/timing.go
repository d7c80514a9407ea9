package view

import "time"

// Timing holds the intervals of a view.
type Timing struct {
	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Hold is how long the log keeps a box in the fleet after its heartbeat, a few lost ones.
	// Where the log is slow some of its answers are added, up to HoldMost.
	Hold, HoldMost time.Duration
	// Grace is how long boxes that the log no longer names are kept after a break in which
	// nobody could be heard: their time may have run out meanwhile.
	Grace time.Duration
	// Settle is how long a box listens without a break before it trusts that it hears all.
	// After a break others may be waiting for a call to the log to fail, so it covers Call.
	Settle time.Duration
	// Begin is the same for a box that has just started and reached the log at once: two
	// heartbeats, in which boxes that start together have all joined.
	Begin time.Duration
	// Remember is how long a box that left can still be asked for its slots.
	Remember time.Duration
	// Reread is how often the members are read though the fleet has not changed.
	Reread time.Duration
	// Call bounds one call to the log.
	Call time.Duration
}

// Usual are the intervals used where nothing else is set. A box that dies is found within
// 1.1 to 1.6 s. A heartbeat costs a tenth of a call to the log.
func Usual() Timing {
	return Timing{
		Beat: 300 * time.Millisecond, Hold: 1100 * time.Millisecond, HoldMost: 4 * time.Second, Grace: 2 * time.Second,
		Settle: 1500 * time.Millisecond, Begin: 600 * time.Millisecond, Remember: 10 * time.Second, Reread: 5 * time.Second, Call: time.Second,
	}
}

const (
	// slowAnswers is how many answers of the log are added to Hold.
	slowAnswers = 4
	// rereads is how often the members are read once more after a change, each so many
	// heartbeats after the one before.
	rereads     = 3
	rereadAfter = 1
	// retryUnreached is how long a box that could not be reached is not tried again.
	retryUnreached = 300 * time.Millisecond
	// failuresFor is the time without a failed call that ends a row of them.
	failuresFor = 2 * time.Second
	// claimTime is the time from a change of the view to the end of a claim: a heartbeat and
	// some calls to the log.
	claimTime = 250 * time.Millisecond
)

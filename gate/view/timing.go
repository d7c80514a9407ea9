package view

import "time"

// Timing holds the intervals and timeouts of a view.
type Timing struct {
	// Beat is the interval between heartbeats.
	Beat time.Duration
	// Hold is how long a membership lasts after a heartbeat; it spans several heartbeats. A multiple of the
	// log's last latency is added to it, up to HoldMost.
	Hold, HoldMost time.Duration
	// Grace is how long boxes that the log no longer lists stay in the view after an outage of the log:
	// their memberships may have expired only because they couldn't renew them.
	Grace time.Duration
	// Settle is how long the log must have answered without a gap before the view counts as complete.
	// It exceeds Call, because after an outage other boxes may still wait for a call to time out.
	Settle time.Duration
	// Begin replaces Settle for a box that reached the log as soon as it started. It spans two heartbeats,
	// in which boxes that start together have all joined.
	Begin time.Duration
	// Remember is how long a box that left can still be asked for its slots.
	Remember time.Duration
	// Reread is the interval at which the members are read again while the fleet does not change.
	Reread time.Duration
	// Call is the timeout of one call to the log.
	Call time.Duration
}

// Usual returns the default timing. With it a dead box leaves the view about one heartbeat after Hold.
func Usual() Timing {
	return Timing{
		Beat: 300 * time.Millisecond, Hold: 1100 * time.Millisecond, HoldMost: 4 * time.Second, Grace: 2 * time.Second,
		Settle: 1500 * time.Millisecond, Begin: 600 * time.Millisecond, Remember: 10 * time.Second, Reread: 5 * time.Second, Call: time.Second,
	}
}

const (
	// ttlLatencies is how many times the log's last latency is added to Hold.
	ttlLatencies = 4
	// rereadsAfterChange is how many times the members are read again after a change of the fleet, once
	// every rereadBeats heartbeats.
	rereadsAfterChange = 3
	rereadBeats        = 1
	// unreachableBackoff is how long a box that could not be reached is not called again.
	unreachableBackoff = 300 * time.Millisecond
	// failureWindow is the time without a failed call after which the failures of a box are forgotten.
	failureWindow = 2 * time.Second
	// claimDuration estimates the time from a change of the view until a slot is claimed: a heartbeat and
	// some calls to the log.
	claimDuration = 250 * time.Millisecond
)

package view

import "time"

// Timing holds the intervals and timeouts of a view.
type Timing struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// MemberTTL is how long a membership lasts after a heartbeat; it spans several heartbeats. A multiple of
	// the log's last latency is added to it, up to MaxMemberTTL.
	MemberTTL, MaxMemberTTL time.Duration
	// OutageGrace is how long boxes that the log no longer lists stay in the view after an outage of the log:
	// their memberships may have expired only because they couldn't renew them.
	OutageGrace time.Duration
	// SettlePeriod is how long the log must have answered without a gap before the view counts as complete.
	// It exceeds CallTimeout, because after an outage other boxes may still wait for a call to time out.
	SettlePeriod time.Duration
	// StartSettlePeriod replaces SettlePeriod for a box that reached the log as soon as it started. It spans
	// two heartbeats, in which boxes that start together have all joined.
	StartSettlePeriod time.Duration
	// DepartedTTL is how long a box that left can still be asked for its slots.
	DepartedTTL time.Duration
	// RereadInterval is the interval at which the members are read again while the fleet does not change.
	RereadInterval time.Duration
	// CallTimeout is the timeout of one call to the log.
	CallTimeout time.Duration
}

// DefaultTiming returns the default timing. With it a dead box leaves the view about one heartbeat after
// MemberTTL. A heartbeat costs a tenth of a call to the log.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 300 * time.Millisecond, MemberTTL: 1100 * time.Millisecond, MaxMemberTTL: 4 * time.Second, OutageGrace: 2 * time.Second,
		SettlePeriod: 1500 * time.Millisecond, StartSettlePeriod: 600 * time.Millisecond, DepartedTTL: 10 * time.Second, RereadInterval: 5 * time.Second, CallTimeout: time.Second,
	}
}

const (
	// ttlLatencies is how many times the log's last latency is added to MemberTTL.
	ttlLatencies = 4
	// rereadsAfterChange is how many times the members are read again after a change of the fleet, once every
	// heartbeatsPerReread heartbeats.
	rereadsAfterChange  = 3
	heartbeatsPerReread = 1
	// unreachableBackoff is how long a box that could not be reached is not called again.
	unreachableBackoff = 300 * time.Millisecond
	// failureWindow is the time without a failed call after which the failures of a box are forgotten.
	failureWindow = 2 * time.Second
	// claimDuration estimates the time from a change of the view until a slot is claimed: a heartbeat and
	// some calls to the log.
	claimDuration = 250 * time.Millisecond
)

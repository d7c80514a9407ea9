package sched

import (
	"slices"
	"time"
)

// ColdBounds are what operators promise of the calls that all boxes together send to a cold replica.
type ColdBounds struct {
	// Overshoot is a factor on the service's rate, and Slack calls beyond it, within any second.
	Overshoot, Slack float64
}

// Share is how many calls one box may send to a cold replica of a service that bears rate calls a second while
// it is cold, within a second. It answers traffic that returns to replicas which have just started, from boxes of
// which some are cut off: one box of each availability zone sends, on either side of a cut, and counts double,
// since two boxes may take themselves for the one while their views differ.
func (b ColdBounds) Share(rate float64, zones int) int {
	const doubt = 2
	return int((rate*max(b.Overshoot, 1) + b.Slack) / float64(doubt*max(zones, 1)))
}

// coldWindow is a second and the time for which a call may be under way to the replica.
const coldWindow = 1250 * time.Millisecond

// Sent keeps when calls were sent to one cold replica.
type Sent struct{ at []time.Time }

// Free reports whether one more may be sent where most are allowed in a second.
func (s *Sent) Free(now time.Time, most int) bool {
	s.at = slices.DeleteFunc(s.at, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.at) < most
}

// Note notes a call.
func (s *Sent) Note(now time.Time) {
	s.at = append(s.at, now)
}

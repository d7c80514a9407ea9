package sched

import (
	"slices"
	"time"
)

// ColdLimits are the operators' limits on the calls that all boxes together send to a cold replica,
// one that has just started.
type ColdLimits struct {
	// Overshoot multiplies the service's rate for cold replicas, and Slack is added to the product,
	// in calls a second.
	Overshoot, Slack float64
}

// CallsPerBox returns how many calls one box may send to a cold replica within a second, where the
// service's rate for cold replicas is rate calls a second. One box in each availability zone sends
// such calls; during a partition two boxes of a zone may each take themselves for that one, so the
// limit is divided by two senders a zone.
func (b ColdLimits) CallsPerBox(rate float64, zones int) int {
	const sendersPerZone = 2
	return int((rate*max(b.Overshoot, 1) + b.Slack) / float64(sendersPerZone*max(zones, 1)))
}

// coldWindow is a second plus the longest time that a call may be in transit to the replica.
const coldWindow = 1250 * time.Millisecond

// SendLog records when calls were sent to one cold replica.
type SendLog struct{ times []time.Time }

// Allows reports whether one more call may be sent under a limit of calls within a second.
func (s *SendLog) Allows(now time.Time, limit int) bool {
	s.times = slices.DeleteFunc(s.times, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.times) < limit
}

// Record records that a call is sent.
func (s *SendLog) Record(now time.Time) {
	s.times = append(s.times, now)
}

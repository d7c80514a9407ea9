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

// CallsPerBox returns how many calls one box may send to a cold replica within a second. rate is the
// service's rate for cold replicas, in calls a second. One box in each availability zone sends such
// calls. During a partition, two boxes of a zone may both act as that box, so the limit is divided by
// two senders a zone.
func (l ColdLimits) CallsPerBox(rate float64, zones int) int {
	const sendersPerZone = 2
	return int((rate*max(l.Overshoot, 1) + l.Slack) / float64(sendersPerZone*max(zones, 1)))
}

// coldWindow is a second plus the longest time that a call may be in transit to the replica.
const coldWindow = 1250 * time.Millisecond

// SendLog records when calls were sent to one cold replica.
type SendLog struct{ times []time.Time }

// Allows reports whether one more call may be sent if limit calls are allowed within a second.
func (s *SendLog) Allows(now time.Time, limit int) bool {
	s.times = slices.DeleteFunc(s.times, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.times) < limit
}

// Record records that a call is sent.
func (s *SendLog) Record(now time.Time) {
	s.times = append(s.times, now)
}

package sched

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Belief is what a box knows of a replica whose engine reports no performance figures.
type Belief struct {
	// Busy is the number of this box's calls in flight there, BusyThen that number at the newest
	// report.
	Busy, BusyThen int
	// Slots is the number of calls that the replica runs at once, 0 if unknown.
	Slots int
	// Reported is set if the newest load report is recent enough to use. Running and Waiting are
	// the calls in that report.
	Reported         bool
	Running, Waiting int
	// Age is the age of that report.
	Age time.Duration
	// Placers is the number of boxes that place calls at the same replicas, this one included.
	Placers int
	// UsualLoad is the share of slots in use at the replicas that report, 0 if none reports.
	UsualLoad float64
	// Slow is the time of a unit of work there relative to the usual time.
	Slow float64
	// Failing is the share of recent calls that failed.
	Failing float64
	// Cached is how much of the prompt the replica is estimated to hold in its cache, in tokens.
	Cached int
	// Far is set if the replica is in another availability zone.
	Far bool
	// Connected is set if a call needs no new connection.
	Connected bool
}

// Call is a call that needs a replica.
type Call struct {
	// Model is set if the call runs a model.
	Model bool
	// Prompt is the length of its prompt, in tokens.
	Prompt int
	// Usual is the usual time of a unit of this kind of work: a whole call of a plain service, or
	// the time between two events of a model's answer.
	Usual time.Duration
}

const (
	// prefillWeight multiplies the prefill time: a prefill also delays the other calls at the
	// replica and evicts other programs' prompts from its cache.
	prefillWeight = 4
	// unreportedCallShare is the cost of each call of this box in flight at a replica without a
	// report, as a share of a turn's time. It also covers the calls of other boxes, which are
	// unknown there.
	unreportedCallShare = 0.1
	// callShare is the cost of each call at the replica, as a share of a turn's time: its part of
	// each batch step, and its prefill.
	callShare = 0.02
	// eventWeight is the number of events whose usual time, scaled by the replica's slowdown, is
	// added to the cost. A higher weight would move programs on measurement noise.
	eventWeight = 3
	// otherZoneTime is the cost of another availability zone for a model call: round trips and data
	// transfer.
	otherZoneTime = 12 * time.Millisecond
	// otherZoneCalls is the cost of another availability zone for a plain service, in calls of this
	// box in flight: calls that a network partition cuts off are lost if they may not be repeated.
	otherZoneCalls = 0.7
	// dialCalls is the cost of a new connection for a plain service, in calls of this box in
	// flight. It keeps boxes that make few calls from spreading them over all replicas.
	dialCalls = 0.3
	// callFailureCost is the cost of a failed call of a plain service. turnFailureCost is that of a
	// failed turn: higher, since repeated failures end the program, and so that a failing replica
	// loses to the cost of a long prefill elsewhere.
	callFailureCost = 1500 * time.Millisecond
	turnFailureCost = 4 * time.Second
	// drawMargin is how much more than the lowest cost a replica may cost to be drawn, so that
	// boxes with the same state don't all choose the same replica.
	drawMargin = 2 * time.Millisecond
)

// Cost returns the expected time of the call at the replica, plus the delay that it causes other
// calls there.
func (f *Figures) Cost(call Call, b Belief) time.Duration {
	if !call.Model {
		calls := float64(b.Busy + 1)
		if b.Far {
			calls += otherZoneCalls
		}
		if !b.Connected {
			calls += dialCalls
		}
		return time.Duration(b.Failing*float64(callFailureCost)) + time.Duration(b.Slow*calls*float64(call.Usual))
	}
	cost := time.Duration(b.Failing * float64(turnFailureCost))
	if b.Far {
		cost += otherZoneTime
	}
	cost += prefillWeight * f.prefillTime(max(0, call.Prompt-b.Cached))
	cost += f.contention(b)
	return cost + time.Duration(b.Slow*eventWeight*float64(call.Usual))
}

// contention estimates the delay from the other calls at the replica. The wait for a free slot is
// the time of a turn, times the calls in excess of the slots, divided by the slots.
func (f *Figures) contention(b Belief) time.Duration {
	calls, unreported := b.estimateCalls()
	cost := callShare*calls + unreportedCallShare*float64(unreported)
	if b.Slots > 0 {
		cost += max(0, calls+1-float64(b.Slots)) / float64(b.Slots)
	}
	return time.Duration(cost * float64(f.turnTime()))
}

// estimateCalls returns the number of calls at a replica and, if it has no usable report, how many
// of this box's calls are there. Each placing box, up to the number of slots, is assumed to have
// placed as many calls since the report as this one; otherwise all boxes would fill the same
// replica. A replica without a report is assumed to be as busy as those that report.
func (b Belief) estimateCalls() (all float64, unreported int) {
	if !b.Reported || b.Slots == 0 {
		return b.UsualLoad * float64(b.Slots), b.Busy
	}
	sinceReport := max(1, min(b.Placers, b.Slots)) * max(0, b.Busy-b.BusyThen)
	return float64(b.Running + b.Waiting + sinceReport), 0
}

// Placers returns how many boxes count as placing calls on the same reports: near in this
// availability zone, and half of the far ones in other zones, which get no reports of this zone's
// replicas and use them only when their own are full.
func Placers(near, far int) int {
	return near + (far+1)/2
}

// Calm reports whether the replica was so lightly loaded by a recent report that a turn there shows
// the engine's own speed.
func (b Belief) Calm() bool {
	return b.Reported && b.Age <= maxLightLoadAge && b.Waiting == 0 &&
		(b.Running+max(0, b.Busy-b.BusyThen))*lightLoadDivisor < b.Slots
}

const (
	// maxLightLoadAge is the oldest report that Calm accepts. A replica is lightly loaded below one
	// in lightLoadDivisor of its slots.
	maxLightLoadAge  = 500 * time.Millisecond
	lightLoadDivisor = 4
)

// PickNear returns the index of a random cost among those within drawMargin of the lowest, or -1 if
// costs is empty.
func PickNear(costs []time.Duration, rng *rand.Rand) int {
	if len(costs) == 0 {
		return -1
	}
	bound := slices.Min(costs) + drawMargin
	return drawAmong(len(costs), func(i int) bool { return costs[i] <= bound }, rng)
}

package sched

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ReplicaState is what a box knows of a replica whose engine reports no performance figures.
type ReplicaState struct {
	// InFlight is the number of this box's calls in flight there, InFlightAtReport that number at the newest
	// report.
	InFlight, InFlightAtReport int
	// Slots is the number of calls that the replica runs at once, 0 if unknown.
	Slots int
	// Reported is set if the newest load report is recent enough to use. Running and Waiting are
	// the calls in that report.
	Reported         bool
	Running, Waiting int
	// ReportAge is the age of that report.
	ReportAge time.Duration
	// Placers is the number of boxes that place calls at the same replicas, this one included.
	Placers int
	// AverageUtilization is the share of slots in use at the replicas that report, 0 if none reports.
	AverageUtilization float64
	// Slowdown is the time of a unit of work there relative to the usual time.
	Slowdown float64
	// FailureRate is the share of recent calls that failed.
	FailureRate float64
	// CachedTokens is how much of the prompt the replica is estimated to hold in its cache, in tokens.
	CachedTokens int
	// OtherZone is set if the replica is in another availability zone.
	OtherZone bool
	// Connected is set if a call needs no new connection.
	Connected bool
}

// Call is a call that needs a replica.
type Call struct {
	// RunsModel is set if the call runs a model.
	RunsModel bool
	// PromptTokens is the length of its prompt, in tokens.
	PromptTokens int
	// UnitTime is the usual time of a unit of this kind of work: a whole call of a plain service, or
	// the time between two events of a model's answer.
	UnitTime time.Duration
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
func (f *EngineEstimates) Cost(call Call, b ReplicaState) time.Duration {
	if !call.RunsModel {
		calls := float64(b.InFlight + 1)
		if b.OtherZone {
			calls += otherZoneCalls
		}
		if !b.Connected {
			calls += dialCalls
		}
		return time.Duration(b.FailureRate*float64(callFailureCost)) + time.Duration(b.Slowdown*calls*float64(call.UnitTime))
	}
	cost := time.Duration(b.FailureRate * float64(turnFailureCost))
	if b.OtherZone {
		cost += otherZoneTime
	}
	cost += prefillWeight * f.prefillTime(max(0, call.PromptTokens-b.CachedTokens))
	cost += f.contention(b)
	return cost + time.Duration(b.Slowdown*eventWeight*float64(call.UnitTime))
}

// contention estimates the delay from the other calls at the replica. The wait for a free slot is
// the time of a turn, times the calls in excess of the slots, divided by the slots.
func (f *EngineEstimates) contention(b ReplicaState) time.Duration {
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
func (b ReplicaState) estimateCalls() (all float64, unreported int) {
	if !b.Reported || b.Slots == 0 {
		return b.AverageUtilization * float64(b.Slots), b.InFlight
	}
	sinceReport := max(1, min(b.Placers, b.Slots)) * max(0, b.InFlight-b.InFlightAtReport)
	return float64(b.Running + b.Waiting + sinceReport), 0
}

// EffectivePlacers returns how many boxes count as placing calls on the same reports: near in this
// availability zone, and half of the far ones in other zones, which get no reports of this zone's
// replicas and use them only when their own are full.
func EffectivePlacers(near, far int) int {
	return near + (far+1)/2
}

// LightlyLoaded reports whether the replica was so lightly loaded by a recent report that a turn there shows
// the engine's own speed.
func (b ReplicaState) LightlyLoaded() bool {
	return b.Reported && b.ReportAge <= maxLightLoadAge && b.Waiting == 0 &&
		(b.Running+max(0, b.InFlight-b.InFlightAtReport))*lightLoadDivisor < b.Slots
}

const (
	// maxLightLoadAge is the oldest report that LightlyLoaded accepts. A replica is lightly loaded below one
	// in lightLoadDivisor of its slots.
	maxLightLoadAge  = 500 * time.Millisecond
	lightLoadDivisor = 4
)

// PickNearCheapest returns the index of a random cost among those within drawMargin of the lowest, or -1 if
// costs is empty.
func PickNearCheapest(costs []time.Duration, rng *rand.Rand) int {
	if len(costs) == 0 {
		return -1
	}
	bound := slices.Min(costs) + drawMargin
	return drawAmong(len(costs), func(i int) bool { return costs[i] <= bound }, rng)
}

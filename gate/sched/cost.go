package sched

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ReplicaState is what a box knows of a replica whose engine reports no performance figures.
type ReplicaState struct {
	// InFlight is the number of this box's calls in flight at the replica, and InFlightAtReport that
	// number when the newest report arrived.
	InFlight, InFlightAtReport int
	// Slots is the number of calls that the replica runs at once, 0 if unknown.
	Slots int
	// Reported is set if the newest load report is recent enough to use. Running and Waiting are
	// the numbers of calls in that report.
	Reported         bool
	Running, Waiting int
	// ReportAge is the age of that report.
	ReportAge time.Duration
	// Placers is the number of boxes that place calls at the same replicas, this one included.
	Placers int
	// AverageUtilization is the share of slots in use at the replicas that report, 0 if none reports.
	AverageUtilization float64
	// Slowdown is the time of a unit of work at the replica relative to the usual time.
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
	// prefillWeight multiplies the prefill time, since a prefill also delays the other calls at the
	// replica and evicts other programs' prompts from its cache. With a weight of 1, programs moved between
	// replicas under load until prefill filled these (docs/decisions/0011).
	prefillWeight = 4
	// unreportedCallShare is the cost of each call of this box in flight at a replica without a
	// report, as a share of a turn's time. It also covers the calls of other boxes, which are
	// unknown there. With half of this share, ten boxes placed too many calls on replicas that they get
	// no reports of, and the programs of a burst earned 0.95 of their value instead of 0.99 (gate/replay).
	unreportedCallShare = 0.1
	// callShare is the cost of each call at the replica, as a share of a turn's time. It covers the
	// delay from the call's prefill and from its part in each step of the batch.
	callShare = 0.02
	// eventWeight is the number of events whose usual time, scaled by the replica's slowdown, is
	// added to the cost. With a higher weight, noise in the slowdown would make programs change
	// replicas.
	eventWeight = 3
	// otherZoneTime is the cost of another availability zone for a model call. It covers the round
	// trips and the data transfer.
	otherZoneTime = 12 * time.Millisecond
	// otherZoneCalls is the cost of another availability zone for a plain service, in calls of this
	// box in flight. A network partition loses the calls between zones that may not be repeated.
	otherZoneCalls = 0.7
	// dialCalls is the cost of a new connection for a plain service, in calls of this box in
	// flight. It keeps boxes that make few calls from spreading them over all replicas: without it, every
	// fourth call of 200 boxes needed a new connection.
	dialCalls = 0.3
	// callFailureCost is the cost of a failed call of a plain service, and turnFailureCost that of a
	// failed turn. The latter is higher, since a third failure in a row ends the program, and since a
	// failure rate of 0.2 must outweigh a long prefill at another replica, which prefillWeight makes cost
	// 0.3 to 0.9 s.
	callFailureCost = 1500 * time.Millisecond
	turnFailureCost = 4 * time.Second
	// drawMargin is how much more than the lowest cost a replica may cost to be drawn, so that
	// boxes with the same state don't all choose the same replica.
	drawMargin = 2 * time.Millisecond
)

// Cost returns the expected time of the call at the replica, plus the delay that it causes other
// calls there.
func (e *EngineEstimates) Cost(call Call, r ReplicaState) time.Duration {
	if !call.RunsModel {
		calls := float64(r.InFlight + 1)
		if r.OtherZone {
			calls += otherZoneCalls
		}
		if !r.Connected {
			calls += dialCalls
		}
		return time.Duration(r.FailureRate*float64(callFailureCost)) + time.Duration(r.Slowdown*calls*float64(call.UnitTime))
	}
	cost := time.Duration(r.FailureRate * float64(turnFailureCost))
	if r.OtherZone {
		cost += otherZoneTime
	}
	cost += prefillWeight * e.prefillTime(max(0, call.PromptTokens-r.CachedTokens))
	cost += e.contention(r)
	return cost + time.Duration(r.Slowdown*eventWeight*float64(call.UnitTime))
}

// contention estimates the delay from the other calls at the replica. The wait for a free slot is
// estimated as the time of a turn times the calls in excess of the slots, divided by the slots.
func (e *EngineEstimates) contention(r ReplicaState) time.Duration {
	calls, unreported := r.estimateCalls()
	cost := callShare*calls + unreportedCallShare*float64(unreported)
	if r.Slots > 0 {
		cost += max(0, calls+1-float64(r.Slots)) / float64(r.Slots)
	}
	return time.Duration(cost * float64(e.turnTime()))
}

// estimateCalls returns the number of calls at a replica and, if it has no usable report, how many
// of this box's calls are there. Each placing box, up to the number of slots, is assumed to have
// placed as many calls since the report as this one; otherwise all boxes would fill the same
// replica. No more boxes count than the replica has slots: in a fleet of 200 boxes of which 40 place
// calls, a box that counted all 40 left the replicas that cache its programs' prompts after each call.
// A replica without a report is assumed to be as busy as those that report.
func (r ReplicaState) estimateCalls() (all float64, unreported int) {
	if !r.Reported || r.Slots == 0 {
		return r.AverageUtilization * float64(r.Slots), r.InFlight
	}
	sinceReport := max(1, min(r.Placers, r.Slots)) * max(0, r.InFlight-r.InFlightAtReport)
	return float64(r.Running + r.Waiting + sinceReport), 0
}

// EffectivePlacers returns how many boxes count as placing calls at the same replicas. near is the
// number of placing boxes in this availability zone, and far that in other zones. Half of the latter
// count, since they get no load reports of this zone's replicas and use them only when their own zone's
// are full. In gate/replay, counting only the near ones lost 0.11 of a burst's value in a fleet of 64 boxes
// of which 14 place calls, and counting all of them lost 0.03 with ten boxes and full engines.
func EffectivePlacers(near, far int) int {
	return near + (far+1)/2
}

// LightlyLoaded reports whether a recent report shows so little load that the time of a turn at the
// replica reflects the engine's own speed.
func (r ReplicaState) LightlyLoaded() bool {
	return r.Reported && r.ReportAge <= maxLightLoadAge && r.Waiting == 0 &&
		(r.Running+max(0, r.InFlight-r.InFlightAtReport))*lightLoadDivisor < r.Slots
}

const (
	// maxLightLoadAge is the maximum age of a report that LightlyLoaded accepts. A replica is lightly
	// loaded if fewer than one in lightLoadDivisor of its slots are in use.
	maxLightLoadAge  = 500 * time.Millisecond
	lightLoadDivisor = 4
)

// PickNearCheapest returns the index of a random cost among those within drawMargin of the lowest, or
// -1 if costs is empty.
func PickNearCheapest(costs []time.Duration, rng *rand.Rand) int {
	if len(costs) == 0 {
		return -1
	}
	bound := slices.Min(costs) + drawMargin
	return drawAmong(len(costs), func(i int) bool { return costs[i] <= bound }, rng)
}

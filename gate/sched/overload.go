package sched

import (
	"math"
	"time"
)

// Overload measures how close a service is to the load at which programs miss their deadlines, based on
// the time that turns take and on the utilization of the engines' slots.
type Overload struct {
	// slowdown is the running mean, as of slowdownAt, of the time that turns take relative to the
	// longest time with which their programs meet their deadlines. Above 1, programs are late.
	slowdown   float64
	slowdownAt time.Time
	// utilization is the ratio of calls to slots of all engines: above 1 if calls wait, negative if
	// unknown. meanUtilization is its moving average over utilizationWindow, as of utilizationAt.
	utilization, meanUtilization float64
	utilizationAt                time.Time
}

const (
	// slowdownWeight is the weight of a new turn in the mean, which covers about the last twenty turns.
	slowdownWeight = 0.05
	// slowdownHalfLife is the time in which the mean halves while no turn ends, so that a box which
	// refuses all programs admits some again. It is about the time of two turns.
	slowdownHalfLife = 500 * time.Millisecond
	// utilizationWindow is the averaging time of meanUtilization. It is longer than the bursts that
	// engines can absorb.
	utilizationWindow = 5 * time.Second
	// priorityPenalty is added to each load figure per step of lower priority, so that less urgent
	// programs are refused earlier.
	priorityPenalty = 0.05
	// linearPriorities is the priority up to which the penalty grows by the same amount for each step. Beyond that it
	// approaches maxPenalty, which leaves room for programs of any priority at a lightly loaded service.
	linearPriorities = 6
	maxPenalty       = 0.5
)

// admissionRange is the range of a load figure in which the share of admitted programs falls
// linearly: all are admitted up to from, none at to and above.
type admissionRange struct{ from, to float64 }

var (
	// slowdownRange starts above 1, since turns vary and a box sees few of them: a fifth above what
	// programs can bear is still chance.
	slowdownRange = admissionRange{1.2, 1.5}
	// utilizationRange applies to the current utilization. It starts above 1, since full slots
	// alone do no harm and a short queue drains quickly.
	utilizationRange = admissionRange{1.15, 1.3}
	// meanUtilizationRange applies to sustained load. It ends at 1, since engines never catch up
	// with a queue that persists. When it was added, it raised the value earned in a minute of overload
	// from 0.46 to 0.52, and in one of twice that from 0.22 to 0.30 (gate/replay).
	meanUtilizationRange = admissionRange{0.9, 1}
)

// share returns the share of programs that are admitted at the load figure, 0 to 1.
func (r admissionRange) share(load float64) float64 {
	return max(0, min(1, (r.to-load)/(r.to-r.from)))
}

// ObserveTurn records the time of a turn. stretch is that time relative to the time on a lightly loaded
// engine, and allowed is the largest stretch with which the program meets its deadline.
func (o *Overload) ObserveTurn(now time.Time, stretch, allowed float64) {
	o.slowdown += slowdownWeight * (stretch/allowed - o.slowdown)
	o.slowdownAt = now
}

// Slowdown returns the mean time of turns relative to the allowed time, decayed until now.
func (o *Overload) Slowdown(now time.Time) float64 {
	return o.slowdown * math.Exp2(-now.Sub(o.slowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// SetUtilization records the current utilization of all slots, negative if it is unknown.
func (o *Overload) SetUtilization(now time.Time, utilization float64) {
	o.utilization = utilization
	if utilization < 0 {
		return
	}
	weight := 1 - math.Exp(-now.Sub(o.utilizationAt).Seconds()/utilizationWindow.Seconds())
	o.meanUtilization += weight * (utilization - o.meanUtilization)
	o.utilizationAt = now
}

// Utilization returns the last recorded utilization of all slots, negative if it is unknown.
func (o *Overload) Utilization() float64 {
	return o.utilization
}

// penaltyOf returns what is added to the load figures for programs of the priority. It is larger for less urgent ones.
func penaltyOf(priority int) float64 {
	if priority <= linearPriorities {
		return priorityPenalty * float64(priority)
	}
	const linear = priorityPenalty * linearPriorities
	return linear + (maxPenalty-linear)*(1-linearPriorities/float64(priority))
}

// admitShare returns the share of programs of a priority that may start, 0 to 1.
func (o *Overload) admitShare(now time.Time, priority int) float64 {
	penalty := penaltyOf(priority)
	share := slowdownRange.share(o.Slowdown(now) + penalty)
	if o.utilization < 0 {
		return share
	}
	return min(share, utilizationRange.share(o.utilization+penalty),
		meanUtilizationRange.share(o.meanUtilization+penalty))
}

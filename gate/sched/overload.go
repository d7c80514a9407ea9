package sched

import (
	"math"
	"time"
)

// Overload measures how close a service is to the load at which programs miss their deadlines, by
// the time that turns take and by the utilization of the engines' slots.
type Overload struct {
	// slowdown is the running mean, as of slowdownAt, of the time that turns take relative to the
	// longest with which their programs meet their deadlines: above 1 programs are late.
	slowdown   float64
	slowdownAt time.Time
	// utilization is the number of calls relative to all slots: above 1 if calls wait, negative if
	// unknown. meanUtilization is its moving average over utilizationWindow, as of utilizationAt.
	utilization, meanUtilization float64
	utilizationAt                time.Time
}

const (
	// slowdownWeight is the weight of a new turn in the mean, which covers about the last twenty.
	slowdownWeight = 0.05
	// slowdownHalfLife is the time in which the mean halves while no turn ends, so that a box that
	// has refused all programs admits some again.
	slowdownHalfLife = 500 * time.Millisecond
	// utilizationWindow is the averaging time of utilization. It is longer than bursts that engines
	// absorb.
	utilizationWindow = 5 * time.Second
	// priorityPenalty is added to each load figure per step of lower priority, so that less urgent
	// programs are refused earlier. unlikelyPenalty is added for programs that are unlikely to meet
	// their deadline.
	priorityPenalty = 0.05
	unlikelyPenalty = 0.4
)

// admissionRange is the range of a load figure in which the share of admitted programs falls
// linearly: all are admitted up to from, none at to and above.
type admissionRange struct{ from, to float64 }

var (
	// slowdownRange starts above 1, since turns vary and a box sees few of them.
	slowdownRange = admissionRange{1.2, 1.5}
	// utilizationRange applies to the current utilization. It starts above 1, since full slots
	// alone do no harm and a short queue drains quickly.
	utilizationRange = admissionRange{1.15, 1.3}
	// meanUtilizationRange applies to sustained load. It ends at 1, since engines never catch up
	// with a queue that persists.
	meanUtilizationRange = admissionRange{0.9, 1}
)

// share returns the share of programs that are admitted at the load, 0 to 1.
func (s admissionRange) share(at float64) float64 {
	return max(0, min(1, (s.to-at)/(s.to-s.from)))
}

// ObserveTurn records a turn. stretch is its time relative to the time on a lightly loaded engine, and
// allowed the largest stretch with which its program meets its deadline.
func (p *Overload) ObserveTurn(now time.Time, stretch, allowed float64) {
	p.slowdown += slowdownWeight * (stretch/allowed - p.slowdown)
	p.slowdownAt = now
}

// Slowdown returns the mean time of turns relative to the allowed time, decayed until now.
func (p *Overload) Slowdown(now time.Time) float64 {
	return p.slowdown * math.Exp2(-now.Sub(p.slowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// SetUtilization records the utilization of all slots by the replicas' own reports, negative if it is
// unknown.
func (p *Overload) SetUtilization(now time.Time, taken float64) {
	p.utilization = taken
	if taken < 0 {
		return
	}
	weight := 1 - math.Exp(-now.Sub(p.utilizationAt).Seconds()/utilizationWindow.Seconds())
	p.meanUtilization += weight * (taken - p.meanUtilization)
	p.utilizationAt = now
}

// Utilization returns the last reported utilization of all slots, negative if it is unknown.
func (p *Overload) Utilization() float64 {
	return p.utilization
}

// admitShare returns the share of programs of a priority that may start, 0 to 1.
func (p *Overload) admitShare(now time.Time, priority int, unlikely bool) float64 {
	penalty := priorityPenalty * float64(priority)
	if unlikely {
		penalty += unlikelyPenalty
	}
	share := slowdownRange.share(p.Slowdown(now) + penalty)
	if p.utilization < 0 {
		return share
	}
	return min(share, utilizationRange.share(p.utilization+penalty),
		meanUtilizationRange.share(p.meanUtilization+penalty))
}

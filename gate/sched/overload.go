package sched

import (
	"math"
	"time"
)

// Overload is how near a service is to the load from which programs end late: by how long turns
// take, whatever engines run short of, and by how many of the engines' places are taken.
type Overload struct {
	// stretch is the running mean, as of at, of how long turns take against how long they may if
	// their programs are to end in time: 1 is all that they can bear.
	stretch float64
	at      time.Time
	// taken is the part of all places that is taken, 1 and more if calls wait; negative if it is not
	// known. lasting is its mean over takenLasting, as of takenAt.
	taken, lasting float64
	takenAt        time.Time
}

const (
	// stretchGain is the weight of a new turn in the mean: some twenty turns, less than a second of
	// a busy box.
	stretchGain = 0.05
	// stretchFade is the time in which the mean halves while no turn ends, so that a box which
	// has turned all away tries again; about two turns.
	stretchFade = 500 * time.Millisecond
	// takenLasting is the time over which the part of places taken is averaged: longer than the
	// bursts that engines make up for by themselves.
	takenLasting = 5 * time.Second
	// rankStep is how much earlier than the first rank each one below it is turned away, on all
	// scales: what the others leave is for the more urgent. unlikelyStep is the same for programs
	// that are unlikely to end in time.
	rankStep     = 0.05
	unlikelyStep = 0.4
)

// scale bounds the range in which fewer and fewer programs begin: all up to from, none from to on.
type scale struct{ from, to float64 }

var (
	// stretchScale begins above 1: turns differ, and one box sees few of them, so that a fifth more
	// than programs can bear is still chance.
	stretchScale = scale{1.2, 1.5}
	// takenScale is for the moment. Full places are no harm by themselves, and a queue of a tenth is
	// gone within a tenth of a turn's time.
	takenScale = scale{1.15, 1.3}
	// lastingScale is for load that lasts: what engines can't make up for must not queue at all. It
	// raises the value of the programs that end in time in a minute of more than engines can do from 0.46 to
	// 0.52, and at twice that from 0.22 to 0.30 (gate/replay, mean of three).
	lastingScale = scale{0.9, 1}
)

// part is how many of the programs begin, 0 to 1.
func (s scale) part(at float64) float64 {
	return max(0, min(1, (s.to-at)/(s.to-s.from)))
}

// Seen takes a turn's time against that at an idle engine, and how much that may be.
func (p *Overload) Seen(now time.Time, stretch, allowed float64) {
	p.stretch += stretchGain * (stretch/allowed - p.stretch)
	p.at = now
}

// Stretch is how long turns take against how long they may, as of now.
func (p *Overload) Stretch(now time.Time) float64 {
	return p.stretch * math.Exp2(-now.Sub(p.at).Seconds()/stretchFade.Seconds())
}

// Reported takes the part of all places that is taken by the replicas' own reports; negative if it is
// not known.
func (p *Overload) Reported(now time.Time, taken float64) {
	p.taken = taken
	if taken < 0 {
		return
	}
	weight := 1 - math.Exp(-now.Sub(p.takenAt).Seconds()/takenLasting.Seconds())
	p.lasting += weight * (taken - p.lasting)
	p.takenAt = now
}

// Taken is the part of all places that is taken; negative if it is not known.
func (p *Overload) Taken() float64 {
	return p.taken
}

// begin is the part of the programs of a rank that may begin, 0 to 1.
func (p *Overload) begin(now time.Time, rank int, unlikely bool) float64 {
	early := rankStep * float64(rank)
	if unlikely {
		early += unlikelyStep
	}
	part := stretchScale.part(p.Stretch(now) + early)
	if p.taken < 0 {
		return part
	}
	return min(part, takenScale.part(p.taken+early), lastingScale.part(p.lasting+early))
}

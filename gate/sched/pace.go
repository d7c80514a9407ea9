package sched

import (
	"math"
	"time"
)

// latePace spaces the starts of programs that are unlikely to meet their deadline. It answers the end
// of an overload: programs that were refused during it all retry within a fraction of a second, while
// load reports lag by up to 400 ms, so that starting all of them would cause the next overload.
type latePace struct {
	// rate is the rate, in programs per second, at which programs in time started, as of rateAt. It is
	// averaged over paceWindow.
	rate   float64
	rateAt time.Time
	// credit is the number of late programs that may start, 0 to 1, as of creditAt.
	credit   float64
	creditAt time.Time
}

const (
	// paceWindow is the averaging time of the start rate, about the length of a burst.
	paceWindow = 5 * time.Second
	// latePaceShare is the rate at which late programs start, relative to programs in time, and
	// minLatePace the least such rate, in programs per second. On the load patterns of gate/replay, a
	// share of 0.3 lost up to 0.03 of the value to late programs that delayed others.
	latePaceShare = 0.1
	minLatePace   = 0.5
)

// started records the start of a program that is not late.
func (p *latePace) started(now time.Time) {
	p.rate = p.decayed(now) + 1/paceWindow.Seconds()
	p.rateAt = now
}

// decayed returns the start rate as of now.
func (p *latePace) decayed(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.rateAt).Seconds()/paceWindow.Seconds())
}

// take reports whether a late program may start now, and counts it if so.
func (p *latePace) take(now time.Time) bool {
	rate := max(minLatePace, latePaceShare*p.decayed(now))
	p.credit = min(1, p.credit+rate*now.Sub(p.creditAt).Seconds())
	p.creditAt = now
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

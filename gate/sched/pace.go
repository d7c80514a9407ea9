package sched

import (
	"math"
	"time"
)

// startPace measures the rate at which programs start, and spaces the starts of those that are unlikely
// to meet their deadline. It answers the end of an overload: programs that were refused during it all
// retry within a fraction of a second, while load reports lag by up to 400 ms, so that starting all of
// them would cause the next overload.
type startPace struct {
	// rate is the rate, in programs per second, at which programs in time started, as of rateAt. It is
	// averaged over paceWindow.
	rate   float64
	rateAt time.Time
	// credit is the number of late programs that may start, 0 to maxLateCredit, as of creditAt.
	credit   float64
	creditAt time.Time
}

const (
	// paceWindow is the averaging time of the start rate, about the length of a burst.
	paceWindow = 5 * time.Second
	// minStartRate is the least rate, in programs per second, by which retries are spaced.
	minStartRate = 1
	// latePaceShare is the rate at which late programs start, relative to programs in time, and
	// minLatePace the least such rate, in programs per second. On the load patterns of gate/replay, a
	// share of 0.3 lost up to 0.03 of the value to late programs that delayed others.
	latePaceShare = 0.1
	minLatePace   = 0.5
	maxLateCredit = 1
)

// started records the start of a program that is not late.
func (p *startPace) started(now time.Time) {
	p.rate = p.decayed(now) + 1/paceWindow.Seconds()
	p.rateAt = now
}

// decayed returns the start rate as of now.
func (p *startPace) decayed(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.rateAt).Seconds()/paceWindow.Seconds())
}

// step returns the mean time between two starts of programs in time.
func (p *startPace) step(now time.Time) time.Duration {
	return time.Duration(float64(time.Second) / max(minStartRate, p.decayed(now)))
}

// mayTakeLate reports whether a late program may start now.
func (p *startPace) mayTakeLate(now time.Time) bool {
	rate := max(minLatePace, latePaceShare*p.decayed(now))
	p.credit = min(maxLateCredit, p.credit+rate*now.Sub(p.creditAt).Seconds())
	p.creditAt = now
	return p.credit >= 1
}

// takeLate counts the start of a late program, and returns true.
func (p *startPace) takeLate() bool {
	p.credit--
	return true
}

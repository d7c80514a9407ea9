package sched

import "time"

// profile holds the statistics of a kind of program.
type profile struct {
	// turns is the mean number of consecutive turns of a program, zero before one has ended. Turns
	// that overlap count once.
	turns float64
	// pause is the mean time between the end of a turn and the start of the program's next one.
	pause time.Duration
	// unloadedTurn is the mean time of a turn on a lightly loaded engine.
	unloadedTurn time.Duration
	// timeLeft is the mean time until the deadline at a program's first turn, zero before any is
	// known.
	timeLeft time.Duration
}

const (
	// initialPause is assumed before any pause is observed.
	initialPause = 100 * time.Millisecond
	// maxPauseFactor caps the pauses that are added to the mean, as a multiple of the mean.
	maxPauseFactor = 4
	// defaultAllowedSlowdown applies until the mean turn time, number of turns and time until the
	// deadline of the kind are known.
	defaultAllowedSlowdown = 1.5
	// usableSlack is the share of the spare time that turns may use. It leaves a reserve, since many
	// programs need more than the mean.
	usableSlack = 0.7
	// minAllowedSlowdown is the least allowed slowdown; below it, the noise of single turns would
	// leave engines idle.
	minAllowedSlowdown = 1.25
)

// profiles holds the profiles by kind of program.
type profiles map[string]*profile

func (p profiles) get(kind string) *profile {
	prof, ok := p[kind]
	if !ok {
		prof = &profile{pause: initialPause}
		p[kind] = prof
	}
	return prof
}

// programEnded records the number of turns of a program that has ended.
func (p *profile) programEnded(turns int) {
	if p.turns == 0 {
		p.turns = float64(turns)
	}
	p.turns += meanWeight * (float64(turns) - p.turns)
}

// addPause records a pause between two turns. Long pauses are capped, since they are usually the
// retry of a failed turn.
func (p *profile) addPause(pause time.Duration) {
	p.pause = updateMean(p.pause, min(pause, maxPauseFactor*p.pause))
}

// allowedSlowdown returns how much longer than on a lightly loaded engine turns may take for
// programs of the kind to meet their deadlines.
func (p *profile) allowedSlowdown() float64 {
	if p.timeLeft == 0 || p.unloadedTurn == 0 || p.turns == 0 {
		return defaultAllowedSlowdown
	}
	spare := float64(p.timeLeft)/p.turns - float64(p.unloadedTurn+p.pause)
	return max(minAllowedSlowdown, 1+usableSlack*spare/float64(p.unloadedTurn))
}

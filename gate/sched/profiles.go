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
	// maxPauseFactor caps an observed pause, as a multiple of the mean, when it is added to the
	// mean.
	maxPauseFactor = 4
	// defaultAllowedSlowdown applies until the time, turns and deadlines of the kind are known.
	defaultAllowedSlowdown = 1.5
	// usableSlack is the share of the spare time that turns may use: half of the programs need more
	// than the mean.
	usableSlack = 0.7
	// minAllowedSlowdown is the least allowed slowdown; below it, the noise of single turns would
	// leave engines idle.
	minAllowedSlowdown = 1.25
)

// profiles holds the profiles by kind of program.
type profiles map[string]*profile

func (s profiles) get(kind string) *profile {
	k, ok := s[kind]
	if !ok {
		k = &profile{pause: initialPause}
		s[kind] = k
	}
	return k
}

// programEnded records the number of turns of a program that has ended.
func (k *profile) programEnded(turns int) {
	if k.turns == 0 {
		k.turns = float64(turns)
	}
	k.turns += meanWeight * (float64(turns) - k.turns)
}

// addPause records a pause between two turns. Long pauses are capped, since they are usually the
// retry of a failed turn.
func (k *profile) addPause(pause time.Duration) {
	k.pause = updateMean(k.pause, min(pause, maxPauseFactor*k.pause))
}

// allowedSlowdown returns how much longer than on a lightly loaded engine turns may take for
// programs of the kind to meet their deadlines.
func (k *profile) allowedSlowdown() float64 {
	if k.timeLeft == 0 || k.unloadedTurn == 0 || k.turns == 0 {
		return defaultAllowedSlowdown
	}
	spare := float64(k.timeLeft)/k.turns - float64(k.unloadedTurn+k.pause)
	return max(minAllowedSlowdown, 1+usableSlack*spare/float64(k.unloadedTurn))
}

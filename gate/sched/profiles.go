package sched

import "time"

// profile is what is learned of the programs of a kind.
type profile struct {
	// turns is the mean number of a program's turns one after another, zero before one was over.
	// Those side by side count once.
	turns float64
	// pause is the mean time between the end of a turn and the next one of its program.
	pause time.Duration
	// ideal is the mean time of a turn at an engine that nothing else uses.
	ideal time.Duration
	// left is the mean time that programs have at their first turn, zero before any told.
	left time.Duration
}

const (
	// firstPause is expected before any was seen.
	firstPause = 100 * time.Millisecond
	// longPause bounds a pause in means, since one is folded in.
	longPause = 4
	// firstStretch is how much longer than at an idle engine a turn may take before programs were
	// seen to end: most are given one and a half to three times as long.
	firstStretch = 1.5
	// slackUsed is the part of what programs have beyond their need which turns may use up: half of
	// the programs need more than the mean.
	slackUsed = 0.7
	// leastStretch bounds how much longer than at an idle engine a turn may take before the box
	// begins fewer: below it engines stand idle for the noise of single turns.
	leastStretch = 1.25
)

// profiles holds the profiles by kind.
type profiles map[string]*profile

func (s profiles) of(kind string) *profile {
	k, ok := s[kind]
	if !ok {
		k = &profile{pause: firstPause}
		s[kind] = k
	}
	return k
}

// ended notes that a program of so many turns is over.
func (k *profile) ended(turns int) {
	if k.turns == 0 {
		k.turns = float64(turns)
	}
	k.turns += turnGain * (float64(turns) - k.turns)
}

// rested notes a pause between two turns. A long one is rather a turn that failed, and counts as a
// few usual ones.
func (k *profile) rested(pause time.Duration) {
	k.pause = mean(k.pause, min(pause, longPause*k.pause))
}

// allowed is how much longer than at an idle engine turns may take if programs of the kind are to
// end in time.
func (k *profile) allowed() float64 {
	if k.left == 0 || k.ideal == 0 || k.turns == 0 {
		return firstStretch
	}
	spare := float64(k.left)/k.turns - float64(k.ideal+k.pause)
	return max(leastStretch, 1+slackUsed*spare/float64(k.ideal))
}

package sched

import "time"

// HoldAsk is what is known when a turn is about to run and its cache could be held for
// the program's next one.
type HoldAsk struct {
	// Tokens is the length of the prefix that would be kept.
	Tokens int
	// Pause is the expected time to the next turn.
	Pause time.Duration
	// Again is the chance that there is a next turn, 0 to 1.
	Again float64
	// Weight is what a token of this kind of program counts against those of others, 1 as usual.
	Weight float64
}

const (
	// holdFrom is the least prefix worth a hold, in tokens.
	holdFrom = 256
	// holdAt is the cache use from which holding matters; below it nothing is pushed out.
	holdAt = 0.5
	// holdCost prices a held token-second against a token computed again.
	holdCost = 0.02
)

// Hold compares the prefill that a hold is likely to save with the memory it takes while
// the program pauses. Under no pressure nothing is pushed out, so nothing need be held.
func Hold(ask HoldAsk, c Candidate) bool {
	if ask.Tokens < holdFrom || c.CacheSize == 0 {
		return false
	}
	pressure := float64(c.CacheUsed) / float64(c.CacheSize)
	if pressure < holdAt {
		return false
	}
	saved := float64(ask.Tokens) * ask.Again * ask.Weight
	cost := float64(ask.Tokens) * ask.Pause.Seconds() * holdCost * pressure
	return saved > cost
}

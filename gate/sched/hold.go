package sched

import "time"

// HoldRequest describes a turn that is about to run and whose cached prefix could be held for the
// program's next turn.
type HoldRequest struct {
	// Tokens is the length of the prefix, in tokens.
	Tokens int
	// Pause is the expected time until the next turn.
	Pause time.Duration
	// NextTurnProbability is the probability of a next turn, 0 to 1.
	NextTurnProbability float64
	// Weight is the value of a token of this program relative to others; 1 is usual.
	Weight float64
}

const (
	// minHoldTokens is the shortest prefix that is held.
	minHoldTokens = 256
	// minHoldPressure is the cache utilization from which prefixes are held. Below it, caches evict
	// nothing.
	minHoldPressure = 0.5
	// holdCost is the cost of holding a token for a second in a full cache, relative to computing it
	// again.
	holdCost = 0.02
)

// ShouldHold reports whether to hold the prefix, that is, whether the prefill that this is likely to
// save outweighs the cache space that the prefix occupies during the pause.
func ShouldHold(req HoldRequest, c Candidate) bool {
	if req.Tokens < minHoldTokens || c.CacheSize == 0 {
		return false
	}
	pressure := float64(c.CacheUsed) / float64(c.CacheSize)
	if pressure < minHoldPressure {
		return false
	}
	saved := float64(req.Tokens) * req.NextTurnProbability * req.Weight
	cost := float64(req.Tokens) * req.Pause.Seconds() * holdCost * pressure
	return saved > cost
}

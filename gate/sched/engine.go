package sched

import (
	"math"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
)

// Strategy names a way to choose.
type Strategy string

// The strategies. All but Scored are baselines.
const (
	Scored Strategy = "scored"
	Random Strategy = "random"
	Least  Strategy = "least"
	Sticky Strategy = "sticky"
)

// Strategies lists the ways to choose.
func Strategies() []Strategy {
	return []Strategy{Scored, Random, Least, Sticky}
}

// Ask is what has to be placed.
type Ask struct {
	Program string
	// Prompt and Expected are in tokens: the whole prompt and the likely answer.
	Prompt   int
	Expected int
}

// Candidate is an allowed target as this box believes it to be.
type Candidate struct {
	Name string
	// Running and Queued are streams by the target's last report.
	Running, Queued int
	MaxBatch        int
	// PrefillTokens and OutputTokens are the work left by that report.
	PrefillTokens, OutputTokens int64
	PrefillRate                 float64
	Step                        time.Duration
	CacheUsed                   int64
	CacheSize                   int64
	// Mine are this box's streams under way, MineThen those when the report was made.
	Mine, MineThen int
	// Others are the streams of other boxes, by their heartbeats.
	Others int
	// Cached is how much of the prompt the target is believed to hold, in tokens.
	Cached int
	// Slow is observed step time over promised step time, at least 1.
	Slow float64
	// Room says that the limit allows another call.
	Room bool
	// Far says that the target is in another availability zone.
	Far bool
}

const (
	// nearShare is how much worse than the best a candidate may be to be drawn, as a share
	// of what differs between candidates; nearTime is the least such difference.
	nearShare = 0.05
	nearTime  = time.Millisecond
	// worthWaiting is how much better a full target must be for the call to wait for it:
	// about the time until one of its places comes free.
	worthWaiting = 30 * time.Millisecond
	// farCost is added for another availability zone.
	farCost = 2 * time.Millisecond
	// delayShare weighs what a prefill costs the streams already in the batch: each of
	// them waits for it.
	delayShare = 1.0
	// evictShare weighs the prefill that others lose when a new prefix pushes theirs out.
	evictShare = 1.0
	// fullAt is the cache use from which a new prefix pushes others out.
	fullAt = 0.85
	// typical is the length of a queued stream in steps when nothing is known.
	typical = 32
	// batchCost is how much one more stream lengthens a step; engines tell no such figure.
	batchCost = 0.03
)

// Load is the estimated number of streams at the target now: the last report corrected
// by own work since, or what the boxes say they have under way, whichever is more.
func (c Candidate) Load() int {
	reported := c.Running + c.Queued + c.Mine - c.MineThen
	return max(reported, c.Mine+c.Others, 0)
}

// Score is the expected cost of the call at the candidate: the time to its whole answer,
// and what its prefill takes from other programs there.
func Score(ask Ask, c Candidate) time.Duration {
	load := float64(c.Load())
	batch := math.Min(load+1, float64(c.MaxBatch))
	step := c.Step.Seconds() * c.Slow * (1 + batchCost*batch)
	wait := float64(c.PrefillTokens) / c.PrefillRate * c.Slow
	if over := load + 1 - float64(c.MaxBatch); over > 0 {
		perSlot := math.Max(float64(c.OutputTokens)/math.Max(load, 1), typical)
		wait += over / float64(c.MaxBatch) * perSlot * step
	}
	prefill := float64(max(0, ask.Prompt-c.Cached)) / c.PrefillRate * c.Slow
	others := prefill * (delayShare*(batch-1) + evictShare*crowding(c))
	answer := float64(ask.Expected) * step
	total := time.Duration((wait + prefill + others + answer) * float64(time.Second))
	if c.Far {
		total += farCost
	}
	return total
}

// crowding is 0 while the cache has room and rises to 1 as it fills.
func crowding(c Candidate) float64 {
	if c.CacheSize == 0 {
		return 0
	}
	used := float64(c.CacheUsed) / float64(c.CacheSize)
	return math.Max(0, math.Min(1, (used-fullAt)/(1-fullAt)))
}

// Pick chooses among the candidates with room; -1 if there is none.
func Pick(strategy Strategy, ask Ask, cands []Candidate, rng *rand.Rand) (int, []types.Weighed) {
	weighed := make([]types.Weighed, len(cands))
	for i, c := range cands {
		weighed[i] = types.Weighed{Name: c.Name, Score: Score(ask, c), Load: c.Load(), Cached: c.Cached, Room: c.Room}
	}
	switch strategy {
	case Random:
		return pickRandom(cands, rng), weighed
	case Least:
		return pickLeast(cands), weighed
	case Sticky:
		return pickSticky(ask, cands), weighed
	default:
		return pickScored(cands, weighed, rng), weighed
	}
}

// pickScored draws among the near-best, so that boxes with the same stale reports do not
// all choose the same target. Where a full target is much better, usually because it holds
// the prefix, the call waits for it.
func pickScored(cands []Candidate, weighed []types.Weighed, rng *rand.Rand) int {
	best, worst, all := time.Duration(math.MaxInt64), time.Duration(0), time.Duration(math.MaxInt64)
	for i := range cands {
		all = min(all, weighed[i].Score)
		if cands[i].Room {
			best = min(best, weighed[i].Score)
			worst = max(worst, weighed[i].Score)
		}
	}
	if best == math.MaxInt64 || all+worthWaiting < best {
		return -1
	}
	bound := best + max(time.Duration(float64(worst-best)*nearShare), nearTime)
	return drawAmong(len(cands), func(i int) bool { return cands[i].Room && weighed[i].Score <= bound }, rng)
}

func pickRandom(cands []Candidate, rng *rand.Rand) int {
	return drawAmong(len(cands), func(i int) bool { return cands[i].Room }, rng)
}

// drawAmong draws one of those indices below n that may be taken; -1 if there is none.
func drawAmong(n int, may func(i int) bool, rng *rand.Rand) int {
	chosen, seen := -1, 0
	for i := range n {
		if !may(i) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// pickLeast takes the target with the fewest calls of this box under way.
func pickLeast(cands []Candidate) int {
	chosen := -1
	for i := range cands {
		if cands[i].Room && (chosen < 0 || cands[i].Mine < cands[chosen].Mine) {
			chosen = i
		}
	}
	return chosen
}

// pickSticky hashes the program to a target.
func pickSticky(ask Ask, cands []Candidate) int {
	names := make([]string, 0, len(cands))
	for _, c := range cands {
		if c.Room {
			names = append(names, c.Name)
		}
	}
	winner := ident.Winner(ask.Program, names)
	for i, c := range cands {
		if c.Name == winner {
			return i
		}
	}
	return -1
}

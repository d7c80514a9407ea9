package sched

import (
	"math"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
)

// Strategy is a way to choose a target.
type Strategy string

// The strategies. Scored is the one for production; the others are baselines.
const (
	Scored      Strategy = "scored"
	Random      Strategy = "random"
	LeastLoaded Strategy = "least"
	Sticky      Strategy = "sticky"
)

// Strategies returns all strategies.
func Strategies() []Strategy {
	return []Strategy{Scored, Random, LeastLoaded, Sticky}
}

// PlacementRequest is a call that needs a target.
type PlacementRequest struct {
	Program string
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int
	// ExpectedTokens is the expected length of the answer, in tokens.
	ExpectedTokens int
}

// Candidate is a target that the call may use, with its state as this box knows it.
type Candidate struct {
	Name string
	// Running and Queued are the numbers of streams in the target's last report, and MaxBatch is the
	// number of streams that the target runs at once.
	Running, Queued int
	MaxBatch        int
	// PrefillTokens and OutputTokens are the outstanding work in that report, in tokens.
	PrefillTokens, OutputTokens int64
	// PrefillRate is in tokens a second, and Step is the time of a decoding step.
	PrefillRate float64
	Step        time.Duration
	// CacheUsed and CacheSize are the used and the total size of the cache, in the same unit.
	CacheUsed int64
	CacheSize int64
	// InFlight is the number of this box's streams in flight, and InFlightAtReport that number at the
	// report.
	InFlight, InFlightAtReport int
	// OthersInFlight is the number of other boxes' streams in flight, according to their heartbeats.
	OthersInFlight int
	// CachedTokens is how much of the prompt the target is estimated to hold in its cache, in tokens.
	CachedTokens int
	// Slowdown is the observed step time relative to the step time that the target reports, at least 1.
	Slowdown float64
	// HasRoom is set if the target's concurrency limit allows another call.
	HasRoom bool
	// OtherZone is set if the target is in another availability zone.
	OtherZone bool
}

const (
	// drawShare is how far above the best score a candidate's score may be for it to be drawn, as a
	// share of the difference between the best and the worst. minDrawMargin is the least margin.
	drawShare     = 0.05
	minDrawMargin = time.Millisecond
	// minWaitGain is how much better a full target must score for the call to wait for it: about
	// the time until one of its slots is free.
	minWaitGain = 30 * time.Millisecond
	// otherZoneCost is added for a target in another availability zone.
	otherZoneCost = 2 * time.Millisecond
	// prefillDelayWeight weighs the delay that a prefill causes each stream in the batch.
	prefillDelayWeight = 1.0
	// evictionWeight weighs the prefill that other programs must repeat when a new prefix evicts
	// theirs.
	evictionWeight = 1.0
	// evictionThreshold is the cache utilization above which a new prefix is assumed to evict others.
	evictionThreshold = 0.85
	// defaultOutputSteps is the least length that is assumed of a queued stream, in steps.
	defaultOutputSteps = 32
	// stepGrowth is the share by which each stream in the batch is assumed to lengthen a step, since
	// engines don't report it.
	stepGrowth = 0.03
)

// Load returns the estimated number of streams at the target now. It is the larger of two estimates:
// the last report corrected by this box's streams since, and the streams that all boxes say they
// have in flight.
func (c Candidate) Load() int {
	reported := c.Running + c.Queued + c.InFlight - c.InFlightAtReport
	return max(reported, c.InFlight+c.OthersInFlight, 0)
}

// Score returns the expected cost of the call at the candidate: the time to the complete answer,
// plus the delay that its prefill causes other programs there.
func Score(req PlacementRequest, c Candidate) time.Duration {
	load := float64(c.Load())
	batch := math.Min(load+1, float64(c.MaxBatch))
	step := c.Step.Seconds() * c.Slowdown * (1 + stepGrowth*batch)
	wait := float64(c.PrefillTokens) / c.PrefillRate * c.Slowdown
	if excess := load + 1 - float64(c.MaxBatch); excess > 0 {
		perSlot := math.Max(float64(c.OutputTokens)/math.Max(load, 1), defaultOutputSteps)
		wait += excess / float64(c.MaxBatch) * perSlot * step
	}
	prefill := float64(max(0, req.PromptTokens-c.CachedTokens)) / c.PrefillRate * c.Slowdown
	othersDelay := prefill * (prefillDelayWeight*(batch-1) + evictionWeight*evictionPressure(c))
	answer := float64(req.ExpectedTokens) * step
	total := time.Duration((wait + prefill + othersDelay + answer) * float64(time.Second))
	if c.OtherZone {
		total += otherZoneCost
	}
	return total
}

// evictionPressure returns 0 up to evictionThreshold, and from there a value that rises linearly to 1
// as the cache fills.
func evictionPressure(c Candidate) float64 {
	if c.CacheSize == 0 {
		return 0
	}
	used := float64(c.CacheUsed) / float64(c.CacheSize)
	return math.Max(0, math.Min(1, (used-evictionThreshold)/(1-evictionThreshold)))
}

// Pick chooses one of the candidates with room and returns its index, or -1 if there is none or if
// the call should wait for a full one. It also returns the score of every candidate.
func Pick(strategy Strategy, req PlacementRequest, cands []Candidate, rng *rand.Rand) (int, []types.ScoredTarget) {
	scored := make([]types.ScoredTarget, len(cands))
	for i, c := range cands {
		scored[i] = types.ScoredTarget{Name: c.Name, Score: Score(req, c), Load: c.Load(), CachedTokens: c.CachedTokens, HasRoom: c.HasRoom}
	}
	switch strategy {
	case Random:
		return pickRandom(cands, rng), scored
	case LeastLoaded:
		return pickLeast(cands), scored
	case Sticky:
		return pickSticky(req, cands), scored
	default:
		return pickScored(cands, scored, rng), scored
	}
}

// pickScored draws one of the near-best candidates, so that boxes with the same stale reports don't
// all choose the same target. It returns -1 if no candidate has room, or if a full target scores so
// much better, usually because it caches the prefix, that the call should wait for it.
func pickScored(cands []Candidate, scored []types.ScoredTarget, rng *rand.Rand) int {
	best, worst, bestOfAll := time.Duration(math.MaxInt64), time.Duration(0), time.Duration(math.MaxInt64)
	for i := range cands {
		bestOfAll = min(bestOfAll, scored[i].Score)
		if cands[i].HasRoom {
			best = min(best, scored[i].Score)
			worst = max(worst, scored[i].Score)
		}
	}
	if best == math.MaxInt64 || bestOfAll+minWaitGain < best {
		return -1
	}
	bound := best + max(time.Duration(float64(worst-best)*drawShare), minDrawMargin)
	return drawAmong(len(cands), func(i int) bool { return cands[i].HasRoom && scored[i].Score <= bound }, rng)
}

func pickRandom(cands []Candidate, rng *rand.Rand) int {
	return drawAmong(len(cands), func(i int) bool { return cands[i].HasRoom }, rng)
}

// drawAmong returns a random eligible index below n, each with the same probability, or -1 if there
// is none.
func drawAmong(n int, eligible func(i int) bool, rng *rand.Rand) int {
	chosen, seen := -1, 0
	for i := range n {
		if !eligible(i) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// pickLeast chooses the candidate with the fewest of this box's calls in flight.
func pickLeast(cands []Candidate) int {
	chosen := -1
	for i := range cands {
		if cands[i].HasRoom && (chosen < 0 || cands[i].InFlight < cands[chosen].InFlight) {
			chosen = i
		}
	}
	return chosen
}

// pickSticky chooses a candidate by rendezvous hashing of the program's name.
func pickSticky(req PlacementRequest, cands []Candidate) int {
	names := make([]string, 0, len(cands))
	for _, c := range cands {
		if c.HasRoom {
			names = append(names, c.Name)
		}
	}
	winner := ident.Rendezvous(req.Program, names)
	for i, c := range cands {
		if c.Name == winner {
			return i
		}
	}
	return -1
}

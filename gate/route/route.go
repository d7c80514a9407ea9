package route

import (
	"math"
	"math/rand/v2"
	"time"

	"mulleingate.dev/base/ident"
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
	// QueuedTokens is the work in tokens left by that report.
	QueuedTokens int64
	PrefillRate  float64
	Step         time.Duration
	CacheUsed    int64
	CacheSize    int64
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
	// nearBest is how much worse than the best a candidate may be to be drawn, as a share
	// of the best score and as a time.
	nearBest = 0.10
	nearTime = 3 * time.Millisecond
	// farCost is added for another availability zone.
	farCost = 2 * time.Millisecond
	// evictShare weighs the prefill that others lose when a new prefix pushes theirs out.
	evictShare = 0.5
	// fullAt is the cache use from which a new prefix pushes others out.
	fullAt = 0.9
	// typical is the length of a queued stream in steps when nothing is known.
	typical = 64
	// batchCost is how much one more stream lengthens a step; engines tell no such figure.
	batchCost = 0.03
)

// Load is the estimated number of streams at the target now: the last report corrected
// by own work since, or what the boxes say they have under way, whichever is more.
func (c Candidate) Load() int {
	reported := c.Running + c.Queued + c.Mine - c.MineThen
	return max(reported, c.Mine+c.Others, 0)
}

// Score is the expected time to the whole answer.
func Score(ask Ask, c Candidate) time.Duration {
	load := float64(c.Load())
	step := c.Step.Seconds() * c.Slow * (1 + batchCost*math.Min(load+1, float64(c.MaxBatch)))
	wait := 0.0
	if over := load + 1 - float64(c.MaxBatch); over > 0 {
		perSlot := math.Max(float64(c.QueuedTokens)/math.Max(load, 1), typical)
		wait = over / float64(c.MaxBatch) * perSlot * step
	}
	missing := float64(max(0, ask.Prompt-c.Cached))
	prefill := missing / c.PrefillRate * c.Slow
	answer := float64(ask.Expected) * step
	push := evictShare * missing / c.PrefillRate * crowding(c)
	total := time.Duration((wait + prefill + answer + push) * float64(time.Second))
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

// Weighed is a candidate's name with its score, for the trail.
type Weighed struct {
	Name   string        `json:"name"`
	Score  time.Duration `json:"score"`
	Load   int           `json:"load"`
	Cached int           `json:"cached"`
	Room   bool          `json:"room"`
}

// Pick chooses among the candidates with room; -1 if there is none.
func Pick(strategy Strategy, ask Ask, cands []Candidate, rng *rand.Rand) (int, []Weighed) {
	weighed := make([]Weighed, len(cands))
	for i, c := range cands {
		weighed[i] = Weighed{Name: c.Name, Score: Score(ask, c), Load: c.Load(), Cached: c.Cached, Room: c.Room}
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
// all choose the same target.
func pickScored(cands []Candidate, weighed []Weighed, rng *rand.Rand) int {
	best := time.Duration(math.MaxInt64)
	for i := range cands {
		if cands[i].Room {
			best = min(best, weighed[i].Score)
		}
	}
	bound := best + max(time.Duration(float64(best)*nearBest), nearTime)
	chosen, seen := -1, 0
	for i := range cands {
		if !cands[i].Room || weighed[i].Score > bound {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

func pickRandom(cands []Candidate, rng *rand.Rand) int {
	chosen, seen := -1, 0
	for i := range cands {
		if !cands[i].Room {
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

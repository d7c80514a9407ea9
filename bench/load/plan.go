package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Mix names a workload.
type Mix string

// The known workloads, named after the sample deployments whose traffic they model.
const (
	Ghent  Mix = "ghent"
	Ndokwa Mix = "ndokwa"
)

// StepKind is the kind of a program's step.
type StepKind int

// The kinds of step: a turn with the model, a call of the service that may be repeated, a call of
// the service that may not, and a sub-agent.
const (
	TurnStep StepKind = iota
	LookupStep
	BookingStep
	AgentStep
)

// Step is one step of a program; it begins after Pause.
type Step struct {
	Kind  StepKind
	Pause time.Duration
	// Words is the length of the question in words, Tokens that of the answer in tokens.
	Words, Tokens int
	// Agent holds the steps of a sub-agent.
	Agent []Step
}

// Plan is a program with its arrival time, counted from the start of the run.
type Plan struct {
	Arrival time.Duration
	Kind    string
	Long    bool
	Steps   []Step
	// Seed makes the program's texts differ from those of other programs.
	Seed uint64
}

// shape is the distribution from which programs of one kind are drawn: ranges, which include both
// ends except for the upper one of pause, and the probabilities that a turn is followed by each
// other kind of step.
type shape struct {
	kind                                  string
	long                                  bool
	turns, words                          [2]int
	firstWords                            [2]int
	tokens                                [2]int
	pause                                 [2]time.Duration
	lookupShare, bookingShare, agentShare float64
}

const ms = time.Millisecond

func shapes(mix Mix) (short, long shape, longShare float64) {
	if mix == Ndokwa {
		return shape{kind: "recharge", turns: [2]int{2, 4}, words: [2]int{5, 20}, firstWords: [2]int{30, 60}, tokens: [2]int{8, 24}, pause: [2]time.Duration{50 * ms, 250 * ms}, lookupShare: 0.3, bookingShare: 0.5},
			shape{kind: "dispute", long: true, turns: [2]int{8, 14}, words: [2]int{20, 80}, firstWords: [2]int{1500, 4000}, tokens: [2]int{15, 35}, pause: [2]time.Duration{100 * ms, 500 * ms}, lookupShare: 0.4, bookingShare: 0.1},
			0.2
	}
	return shape{kind: "booking", turns: [2]int{2, 4}, words: [2]int{5, 25}, firstWords: [2]int{40, 80}, tokens: [2]int{8, 24}, pause: [2]time.Duration{50 * ms, 250 * ms}, lookupShare: 0.4, bookingShare: 0.5},
		shape{kind: "planning", long: true, turns: [2]int{6, 12}, words: [2]int{30, 120}, firstWords: [2]int{800, 2500}, tokens: [2]int{20, 50}, pause: [2]time.Duration{50 * ms, 300 * ms}, lookupShare: 0.3, bookingShare: 0.3, agentShare: 0.1},
		0.25
}

// DrawPlans draws the programs of a run, with Poisson arrivals at rate programs per second.
func DrawPlans(mix Mix, rate float64, length time.Duration, seed uint64) []Plan {
	rng := rand.New(rand.NewPCG(seed, 7))
	short, long, share := shapes(mix)
	var out []Plan
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when > length {
			return out
		}
		sh := short
		if rng.Float64() < share {
			sh = long
		}
		out = append(out, Plan{Arrival: when, Kind: sh.kind, Long: sh.long, Steps: drawSteps(rng, sh, true), Seed: rng.Uint64()})
	}
}

func drawSteps(rng *rand.Rand, sh shape, root bool) []Step {
	var out []Step
	turns := drawInt(rng, sh.turns)
	for i := range turns {
		words := drawInt(rng, sh.words)
		if i == 0 && root {
			words = drawInt(rng, sh.firstWords)
		}
		out = append(out, Step{Kind: TurnStep, Pause: drawPause(rng, sh, i == 0), Words: words, Tokens: drawInt(rng, sh.tokens)})
		if rng.Float64() < sh.lookupShare {
			out = append(out, Step{Kind: LookupStep})
		}
		if rng.Float64() < sh.bookingShare {
			out = append(out, Step{Kind: BookingStep})
		}
		if root && rng.Float64() < sh.agentShare {
			sub := sh
			sub.turns = [2]int{1, 3}
			out = append(out, Step{Kind: AgentStep, Agent: drawSteps(rng, sub, false)})
		}
	}
	return out
}

func drawPause(rng *rand.Rand, sh shape, first bool) time.Duration {
	if first {
		return 0
	}
	return sh.pause[0] + time.Duration(rng.Int64N(int64(sh.pause[1]-sh.pause[0])))
}

func drawInt(rng *rand.Rand, r [2]int) int {
	return r[0] + rng.IntN(r[1]-r[0]+1)
}

// questionText returns a text of the given number of words that depends on the seed and the turn
// and asks the stand-in model for an answer of the given number of tokens.
func questionText(seed uint64, turn, words, tokens int) string {
	var b strings.Builder
	for i := range words {
		b.WriteString("w" + strconv.FormatUint((seed+uint64(turn*1000+i))%9973, 36) + " ")
	}
	b.WriteString("len=" + strconv.Itoa(tokens))
	return b.String()
}

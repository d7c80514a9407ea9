package sched

import (
	"maps"
	"math"
	"time"
)

// TurnStats estimates, by kind of program, the pause between turns, the probability of another turn
// and the length of answers. It drops programs and kinds that are idle for long.
type TurnStats struct {
	kinds map[string]*kindStats
	// last holds the last turn of each program.
	last map[string]lastTurn
	// sweptAt is when idle programs and kinds were last dropped.
	sweptAt time.Time
}

// lastTurn is the last turn of a program; endedAt is zero until its answer is complete.
type lastTurn struct {
	startedAt, endedAt time.Time
	kind               string
}

type kindStats struct {
	// usedAt is when the last turn of the kind started.
	usedAt    time.Time
	meanPause time.Duration
	// turns and ends are decayed counts of turns and of ended programs. Their ratio gives the
	// probability of another turn.
	turns, ends float64
	// meanAnswer is the mean length of an answer in tokens, 0 before the first.
	meanAnswer float64
}

const (
	// turnStatsWeight is the weight of a new value in a mean.
	turnStatsWeight = 0.1
	defaultPause    = 2 * time.Second
	// countDecay multiplies a count before each increment, so that it covers about the last thousand
	// events.
	countDecay = 0.999
	// programTTL is how long a program is kept after the start and the end of its last turn, since not every
	// program is reported as ended. It is several times the longest pause for which a prefix is held, 100 s by
	// holdCost and minHoldPressure. kindTTL is how long a kind is kept after its last turn, since callers may
	// name any number of kinds; it covers gaps in the load of a kind that is in use.
	programTTL = 10 * time.Minute
	kindTTL    = time.Hour
	// sweepInterval is the time between two searches for idle programs and kinds.
	sweepInterval = time.Minute
)

// NewTurnStats returns a TurnStats without any history.
func NewTurnStats() *TurnStats {
	return &TurnStats{kinds: map[string]*kindStats{}, last: map[string]lastTurn{}}
}

func (s *TurnStats) kind(name string) *kindStats {
	k, ok := s.kinds[name]
	if !ok {
		k = &kindStats{meanPause: defaultPause, turns: 1}
		s.kinds[name] = k
	}
	return k
}

// NextTurn is the expected pause after a turn, and the probability of another turn, 0 to 1.
type NextTurn struct {
	Pause       time.Duration
	Probability float64
}

// sweep drops programs and kinds that have been idle for long. Dropped programs don't count as ended, since they
// may only pause.
func (s *TurnStats) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	maps.DeleteFunc(s.last, func(_ string, last lastTurn) bool {
		return now.Sub(last.startedAt) > programTTL && now.Sub(last.endedAt) > programTTL
	})
	maps.DeleteFunc(s.kinds, func(_ string, k *kindStats) bool { return now.Sub(k.usedAt) > kindTTL })
}

// TurnStarted records the start of a turn and returns what is expected after it.
func (s *TurnStats) TurnStarted(now time.Time, program, kind string) NextTurn {
	s.sweep(now)
	k := s.kind(kind)
	k.usedAt = now
	if last, ok := s.last[program]; ok && !last.endedAt.IsZero() {
		pause := now.Sub(last.endedAt)
		k.meanPause += time.Duration(turnStatsWeight * float64(pause-k.meanPause))
	}
	k.turns = k.turns*countDecay + 1
	s.last[program] = lastTurn{startedAt: now, kind: kind}
	return NextTurn{Pause: k.meanPause, Probability: 1 - k.ends/math.Max(k.turns, 1)}
}

// TurnAnswered records the end of a turn and the length of its answer in tokens.
func (s *TurnStats) TurnAnswered(now time.Time, program string, tokens int) {
	last, ok := s.last[program]
	if !ok {
		return
	}
	last.endedAt = now
	s.last[program] = last
	k := s.kind(last.kind)
	if tokens == 0 {
		return
	}
	if k.meanAnswer == 0 {
		k.meanAnswer = float64(tokens)
	}
	k.meanAnswer += turnStatsWeight * (float64(tokens) - k.meanAnswer)
}

// AnswerLength returns the mean length of an answer of the kind, in tokens, or guess before the first.
func (s *TurnStats) AnswerLength(kind string, guess int) int {
	if k, ok := s.kinds[kind]; ok && k.meanAnswer > 0 {
		return int(k.meanAnswer)
	}
	return guess
}

// ProgramEnded records that a program has ended.
func (s *TurnStats) ProgramEnded(program string) {
	last, ok := s.last[program]
	if !ok {
		return
	}
	k := s.kind(last.kind)
	k.ends = k.ends*countDecay + 1
	delete(s.last, program)
}

// Shares provides the configured share of each workspace, at least 1.
type Shares interface {
	Share(workspace string) int
}

// FairShare tracks the service that each workspace has received, divided by its share, for weighted
// fair queueing.
type FairShare struct {
	shares Shares
	// used holds the use of workspaces above floor; all others count as having floor.
	used map[string]float64
	// floor is the least use that any workspace counts as having, so that an idle workspace can't
	// accumulate credit without limit.
	floor float64
}

const (
	// quantum is the granularity of Level, in tokens for a share of 1. maxCredit is how far the use
	// of a workspace may lie below that of the workspace with the most use.
	quantum   = 20_000
	maxCredit = 10 * quantum
)

// NewFairShare returns a FairShare without any recorded use.
func NewFairShare(shares Shares) *FairShare {
	return &FairShare{shares: shares, used: map[string]float64{}}
}

// Charge adds tokens to the use of a workspace.
func (f *FairShare) Charge(workspace string, tokens int64) {
	f.used[workspace] = math.Max(f.used[workspace], f.floor) + float64(tokens)/float64(f.shares.Share(workspace))
	highest := 0.0
	for _, used := range f.used {
		highest = math.Max(highest, used)
	}
	f.floor = math.Max(f.floor, highest-maxCredit)
	maps.DeleteFunc(f.used, func(_ string, used float64) bool { return used <= f.floor })
}

// Level returns the workspace's weighted use in quanta; the lowest is served first.
func (f *FairShare) Level(workspace string) int64 {
	return int64(math.Max(f.used[workspace], f.floor) / quantum)
}

package sched

import (
	"math"
	"time"
)

// TurnStats estimates, by kind of program, the pause between turns, the probability of another turn
// and the length of answers.
type TurnStats struct {
	kinds map[string]*kindStats
	last  map[string]lastTurn
}

type lastTurn struct {
	endedAt time.Time
	kind    string
}

type kindStats struct {
	meanPause time.Duration
	// turns and ends are decayed counts, which give the probability of another turn.
	turns, ends float64
	// meanAnswer is the mean length of an answer in tokens, 0 before the first.
	meanAnswer float64
}

const (
	meanPauseWeight = 0.1
	defaultPause    = 2 * time.Second
	// countDecay multiplies the counts at each new event, so that about the last thousand count.
	countDecay = 0.999
)

// NewTurnStats returns a TurnStats without any history.
func NewTurnStats() *TurnStats {
	return &TurnStats{kinds: map[string]*kindStats{}, last: map[string]lastTurn{}}
}

func (p *TurnStats) kind(name string) *kindStats {
	k, ok := p.kinds[name]
	if !ok {
		k = &kindStats{meanPause: defaultPause, turns: 1}
		p.kinds[name] = k
	}
	return k
}

// NextTurn is the expected pause after a turn, and the probability of another turn, 0 to 1.
type NextTurn struct {
	Pause       time.Duration
	Probability float64
}

// TurnStarted records the start of a turn and returns what is expected after it.
func (p *TurnStats) TurnStarted(now time.Time, program, kind string) NextTurn {
	k := p.kind(kind)
	if last, ok := p.last[program]; ok && !last.endedAt.IsZero() {
		pause := now.Sub(last.endedAt)
		k.meanPause += time.Duration(meanPauseWeight * float64(pause-k.meanPause))
	}
	k.turns = k.turns*countDecay + 1
	p.last[program] = lastTurn{kind: kind}
	return NextTurn{Pause: k.meanPause, Probability: 1 - k.ends/math.Max(k.turns, 1)}
}

// TurnAnswered records the end of a turn and the length of its answer in tokens.
func (p *TurnStats) TurnAnswered(now time.Time, program string, tokens int) {
	last, ok := p.last[program]
	if !ok {
		return
	}
	last.endedAt = now
	p.last[program] = last
	k := p.kind(last.kind)
	if tokens == 0 {
		return
	}
	if k.meanAnswer == 0 {
		k.meanAnswer = float64(tokens)
	}
	k.meanAnswer += meanPauseWeight * (float64(tokens) - k.meanAnswer)
}

// AnswerLength returns the mean length of an answer of the kind, in tokens, or guess before the first.
func (p *TurnStats) AnswerLength(kind string, guess int) int {
	if k, ok := p.kinds[kind]; ok && k.meanAnswer > 0 {
		return int(k.meanAnswer)
	}
	return guess
}

// ProgramEnded records that a program has ended.
func (p *TurnStats) ProgramEnded(program string) {
	last, ok := p.last[program]
	if !ok {
		return
	}
	k := p.kind(last.kind)
	k.ends = k.ends*countDecay + 1
	delete(p.last, program)
}

// Shares returns the configured share of each workspace, at least 1.
type Shares interface {
	Share(workspace string) int
}

// FairShare tracks the service of each workspace, divided by its share, for weighted fair queueing.
type FairShare struct {
	shares Shares
	used   map[string]float64
	// floor is the least use that any workspace is counted with, so that an idle workspace can't
	// accumulate credit without limit.
	floor float64
}

const (
	// quantum is the granularity of Level, in tokens for a share of 1. maxCredit is how far a
	// workspace may fall behind the one with the most use.
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
}

// Level returns the workspace's weighted use in quanta; the lowest is served first.
func (f *FairShare) Level(workspace string) int64 {
	return int64(math.Max(f.used[workspace], f.floor) / quantum)
}

package sched

import (
	"math"
	"time"
)

// Pauses learns how long programs of a kind pause between turns, and how likely they
// are to go on. Nothing else is known of a program's shape ahead of time.
type Pauses struct {
	kinds map[string]*kindPause
	last  map[string]lastTurn
}

type lastTurn struct {
	at   time.Time
	kind string
}

type kindPause struct {
	mean time.Duration
	// turns and ends give the chance of another turn.
	turns, ends float64
	// answer is the mean length of an answer, in tokens; 0 before the first.
	answer float64
}

const (
	pauseGain = 0.1
	firstRest = 2 * time.Second
	// forgetBy fades old evidence, so that about the last thousand turns count.
	forgetBy = 0.999
)

// NewPauses makes pauses of which nothing is known.
func NewPauses() *Pauses {
	return &Pauses{kinds: map[string]*kindPause{}, last: map[string]lastTurn{}}
}

func (p *Pauses) kind(name string) *kindPause {
	k, ok := p.kinds[name]
	if !ok {
		k = &kindPause{mean: firstRest, turns: 1}
		p.kinds[name] = k
	}
	return k
}

// NextTurn is what is likely after a turn: the pause, and the chance of another turn, 0 to 1.
type NextTurn struct {
	Pause  time.Duration
	Chance float64
}

// Begins notes that a turn begins, and returns what is likely after it.
func (p *Pauses) Begins(now time.Time, program, kind string) NextTurn {
	k := p.kind(kind)
	if last, ok := p.last[program]; ok && !last.at.IsZero() {
		seen := now.Sub(last.at)
		k.mean += time.Duration(pauseGain * float64(seen-k.mean))
	}
	k.turns = k.turns*forgetBy + 1
	p.last[program] = lastTurn{kind: kind}
	return NextTurn{Pause: k.mean, Chance: 1 - k.ends/math.Max(k.turns, 1)}
}

// Answered notes the end of a turn with an answer of so many tokens.
func (p *Pauses) Answered(now time.Time, program string, tokens int) {
	last, ok := p.last[program]
	if !ok {
		return
	}
	last.at = now
	p.last[program] = last
	k := p.kind(last.kind)
	if tokens == 0 {
		return
	}
	if k.answer == 0 {
		k.answer = float64(tokens)
	}
	k.answer += pauseGain * (float64(tokens) - k.answer)
}

// Length is the likely length of an answer of the kind, in tokens; guess before the first.
func (p *Pauses) Length(kind string, guess int) int {
	if k, ok := p.kinds[kind]; ok && k.answer > 0 {
		return int(k.answer)
	}
	return guess
}

// End notes that a program is over.
func (p *Pauses) End(program string) {
	last, ok := p.last[program]
	if !ok {
		return
	}
	k := p.kind(last.kind)
	k.ends = k.ends*forgetBy + 1
	delete(p.last, program)
}

// Shares tells the share of each workspace, at least 1.
type Shares interface {
	Share(workspace string) int
}

// Fair keeps what each workspace has been given, weighed by its share.
type Fair struct {
	shares Shares
	spent  map[string]float64
	// floor is the least any workspace counts as having used, so that one that was idle
	// cannot save its share up.
	floor float64
}

const (
	// quantum is the service, in tokens for a share of 1, below which workspaces count as equal.
	quantum  = 20_000
	maxSaved = 10 * quantum
)

// NewFair makes shares of which none has been used.
func NewFair(shares Shares) *Fair {
	return &Fair{shares: shares, spent: map[string]float64{}}
}

// Used notes that a workspace has been given so many tokens.
func (f *Fair) Used(workspace string, tokens int64) {
	f.spent[workspace] = math.Max(f.spent[workspace], f.floor) + float64(tokens)/float64(f.shares.Share(workspace))
	most := 0.0
	for _, used := range f.spent {
		most = math.Max(most, used)
	}
	f.floor = math.Max(f.floor, most-maxSaved)
}

// Level is the workspace's weighed use in quanta; lower goes first.
func (f *Fair) Level(workspace string) int64 {
	return int64(math.Max(f.spent[workspace], f.floor) / quantum)
}

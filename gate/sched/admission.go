package sched

import (
	"math/rand/v2"
	"time"
)

// Turn is what is known of a call of a program that wants a place.
type Turn struct {
	Program string
	// Kind names its kind of work.
	Kind string
	// Fresh says that its program has not begun: refusing it wastes nothing.
	Fresh bool
	// Priority is the operators' rank, 0 first.
	Priority int
	// Left is the time until the program should be over, at Arrived; negative if that has passed,
	// zero if it is not known.
	Left    time.Duration
	Arrived time.Time
}

// late reports whether the program can't end in time any more.
func (t Turn) late(now time.Time) bool {
	return t.Left != 0 && now.Sub(t.Arrived) >= t.Left
}

// Verdict is a decision on a turn.
type Verdict struct {
	// Refuse turns it away; it has not run.
	Refuse bool
	// After is when its caller should come again.
	After time.Duration
	// Stretch and Taken are what decided; see Overload.
	Stretch, Taken float64
}

// Admission decides which programs begin. It answers bursts that last, and engines that are too slow
// for all that comes: each program that begins then makes those under way later, until all end
// late: in a minute of more than engines can do, programs with 0.10 of all value end in time where all begin,
// and with 0.52 by this (gate/replay). Turns of programs under way are never refused: what they have had would be lost.
// Nor do they wait here for places to come free, in an order of their own: that gained nothing in
// any pattern.
type Admission struct {
	Figures  Figures
	Overload Overload
	profiles profiles
	active   map[string]*progress
	// refused tells of programs that were turned away before they began.
	refused map[string]refusal
}

// progress is a program under way.
type progress struct {
	kind string
	// under counts its turns under way, turns those that it took one after another.
	under, turns int
	// rested is when its last turn ended.
	rested time.Time
}

// refusal is a program that was turned away before it began.
type refusal struct {
	at   time.Time
	left time.Duration
}

const (
	// leastAfter bounds the advice from below: sooner no turn has ended.
	leastAfter = 150 * time.Millisecond
	// lateAfter is the part of its time after which a program that was turned away is not likely to
	// end in time any more.
	lateAfter = 0.1
	// maxRefused bounds the programs that are remembered for having been turned away.
	maxRefused = 10_000
	// restsFor is how long a program may rest before it counts as over: longer than tools and
	// most callers take. forgetAtOnce is how many programs one look for those takes.
	restsFor     = 2 * time.Second
	forgetAtOnce = 8
)

// NewAdmission makes an admission without a history.
func NewAdmission() *Admission {
	return &Admission{profiles: profiles{}, active: map[string]*progress{}, refused: map[string]refusal{}}
}

// Admit decides on a turn that has just come.
func (a *Admission) Admit(now time.Time, turn Turn) Verdict {
	verdict := Verdict{Stretch: a.Overload.Stretch(now), Taken: a.Overload.Taken()}
	if !turn.Fresh {
		return verdict
	}
	part := a.Overload.begin(now, turn.Priority, a.unlikely(now, turn))
	if part >= 1 || rand.Float64() < part {
		return verdict
	}
	a.remember(now, turn)
	verdict.Refuse, verdict.After = true, spread(a.Figures.turn())
	return verdict
}

// spread is when to come again after a wait: at random within a time as long again, so that those
// who were refused together don't come back together.
func spread(wait time.Duration) time.Duration {
	wait = max(wait, leastAfter)
	return wait + rand.N(wait)
}

func (a *Admission) remember(now time.Time, turn Turn) {
	if _, ok := a.refused[turn.Program]; ok || turn.Left <= 0 {
		return
	}
	if len(a.refused) >= maxRefused {
		clear(a.refused)
	}
	a.refused[turn.Program] = refusal{at: now, left: turn.Left}
}

// unlikely reports whether a program that has not begun is unlikely to end in time.
func (a *Admission) unlikely(now time.Time, turn Turn) bool {
	if turn.late(now) {
		return true
	}
	first, ok := a.refused[turn.Program]
	return ok && float64(now.Sub(first.at)) > lateAfter*float64(first.left)
}

// Begin notes that a turn has its place.
func (a *Admission) Begin(now time.Time, turn Turn) {
	k := a.profiles.of(turn.Kind)
	if _, again := a.refused[turn.Program]; turn.Fresh && turn.Left > 0 && !again {
		k.left = mean(k.left, turn.Left)
	}
	delete(a.refused, turn.Program)
	p, ok := a.active[turn.Program]
	if !ok {
		p = &progress{kind: turn.Kind}
		a.active[turn.Program] = p
	}
	if ok && p.under == 0 {
		k.rested(now.Sub(p.rested))
	}
	if p.under == 0 {
		p.turns++
	}
	p.under++
	a.forget(now)
}

// forget drops programs that have rested so long that they are likely over, a few at a time.
func (a *Admission) forget(now time.Time) {
	looked := 0
	for name, p := range a.active {
		if p.under == 0 && now.Sub(p.rested) > restsFor {
			a.profiles.of(p.kind).ended(p.turns)
			delete(a.active, name)
		}
		if looked++; looked >= forgetAtOnce {
			return
		}
	}
}

// End notes that a turn is over.
func (a *Admission) End(now time.Time, turn Turn) {
	if p, ok := a.active[turn.Program]; ok {
		p.under--
		p.rested = now
	}
}

// Answered notes a turn that was answered whole, and what it would have taken at a calm engine, zero if
// that is not known.
func (a *Admission) Answered(now time.Time, turn Turn, ideal time.Duration) {
	if ideal <= 0 {
		return
	}
	a.Figures.Turn(ideal)
	k := a.profiles.of(turn.Kind)
	k.ideal = mean(k.ideal, ideal)
	a.Overload.Seen(now, float64(now.Sub(turn.Arrived))/float64(ideal), k.allowed())
}

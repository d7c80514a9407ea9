package sched

import (
	"math/rand/v2"
	"time"
)

// Turn describes a call of a program that asks for a place at a replica.
type Turn struct {
	Program string
	// Kind is the kind of program; load statistics are kept by kind.
	Kind string
	// NewProgram is set if the program has not started, so that a refusal wastes no work.
	NewProgram bool
	// Priority is the configured priority; 0 is the most urgent.
	Priority int
	// TimeLeft is the time from Arrived until the program's deadline: negative if the deadline has
	// passed, zero if it is unknown.
	TimeLeft time.Duration
	Arrived  time.Time
}

// late reports whether the program's deadline has passed.
func (t Turn) late(now time.Time) bool {
	return t.TimeLeft != 0 && now.Sub(t.Arrived) >= t.TimeLeft
}

// AdmissionDecision is the admission decision on a turn.
type AdmissionDecision struct {
	// Refuse is set if the turn is refused before any of it has run.
	Refuse bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Slowdown and Utilization are the load figures that the decision was based on; see Overload.
	Slowdown, Utilization float64
}

// Admission decides which programs may start. Under sustained overload every program that starts
// delays those that are running, until all miss their deadlines, so new programs are refused first.
// Turns of running programs are never refused, since the work that they have done would be lost.
// Admission does not queue turns.
type Admission struct {
	Estimates EngineEstimates
	Overload  Overload
	profiles  profiles
	latePace  latePace
	// active holds the programs that have started and not yet been forgotten, by name.
	active map[string]*activeProgram
	// refused holds the programs that were refused before they started, by name.
	refused map[string]refusal
}

// activeProgram is the state of a program that has started.
type activeProgram struct {
	kind string
	// inFlight counts the turns in progress. turns counts the turns run so far, where turns that
	// overlap count once.
	inFlight, turns int
	// lastTurnEnd is when the last turn ended.
	lastTurnEnd time.Time
}

// refusal records the first refusal of a program that has not started.
type refusal struct {
	at       time.Time
	timeLeft time.Duration
}

const (
	// minRetryAfter is the minimum retry delay. In a shorter time hardly any turn ends.
	minRetryAfter = 150 * time.Millisecond
	// maxLostTimeShare is the share of the time until its deadline that a refused program may lose
	// before it counts as unlikely to meet the deadline.
	maxLostTimeShare = 0.1
	// maxRefused bounds the number of remembered refusals.
	maxRefused = 10_000
	// programIdleTimeout is the idle time after which a program counts as ended. Most pauses between
	// turns are shorter. forgetBatch is the number of programs that each call of forget checks.
	programIdleTimeout = 2 * time.Second
	forgetBatch        = 8
)

// NewAdmission returns an Admission without any history.
func NewAdmission() *Admission {
	return &Admission{profiles: profiles{}, active: map[string]*activeProgram{}, refused: map[string]refusal{}}
}

// Admit decides on a turn that has just arrived.
func (a *Admission) Admit(now time.Time, turn Turn) AdmissionDecision {
	decision := AdmissionDecision{Slowdown: a.Overload.Slowdown(now), Utilization: a.Overload.Utilization()}
	if !turn.NewProgram {
		return decision
	}
	share := a.Overload.admitShare(now, turn.Priority)
	late := a.unlikelyInTime(now, turn)
	if late && share >= 1 && a.latePace.take(now) {
		return decision
	}
	if !late && (share >= 1 || rand.Float64() < share) {
		a.latePace.started(now)
		return decision
	}
	a.rememberRefusal(now, turn)
	decision.Refuse, decision.RetryAfter = true, jitter(a.Estimates.turnTime())
	return decision
}

// jitter returns a random retry delay between wait and twice wait, so that callers that were
// refused together don't retry together.
func jitter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + rand.N(wait)
}

// rememberRefusal records the refusal of a program, unless an earlier one is recorded or its deadline
// is unknown or past.
func (a *Admission) rememberRefusal(now time.Time, turn Turn) {
	if _, ok := a.refused[turn.Program]; ok || turn.TimeLeft <= 0 {
		return
	}
	if len(a.refused) >= maxRefused {
		clear(a.refused)
	}
	a.refused[turn.Program] = refusal{at: now, timeLeft: turn.TimeLeft}
}

// unlikelyInTime reports whether a program that has not started is unlikely to meet its deadline.
func (a *Admission) unlikelyInTime(now time.Time, turn Turn) bool {
	if turn.late(now) {
		return true
	}
	first, ok := a.refused[turn.Program]
	return ok && float64(now.Sub(first.at)) > maxLostTimeShare*float64(first.timeLeft)
}

// TurnStarted records that a turn has got its place.
func (a *Admission) TurnStarted(now time.Time, turn Turn) {
	prof := a.profiles.get(turn.Kind)
	if _, again := a.refused[turn.Program]; turn.NewProgram && turn.TimeLeft > 0 && !again {
		prof.timeLeft = updateMean(prof.timeLeft, turn.TimeLeft)
	}
	delete(a.refused, turn.Program)
	p, ok := a.active[turn.Program]
	if !ok {
		p = &activeProgram{kind: turn.Kind}
		a.active[turn.Program] = p
	}
	if ok && p.inFlight == 0 {
		prof.addPause(now.Sub(p.lastTurnEnd))
	}
	if p.inFlight == 0 {
		p.turns++
	}
	p.inFlight++
	a.forget(now)
}

// forget removes programs that have been idle for programIdleTimeout. It checks forgetBatch
// programs per call.
func (a *Admission) forget(now time.Time) {
	checked := 0
	for name, p := range a.active {
		if p.inFlight == 0 && now.Sub(p.lastTurnEnd) > programIdleTimeout {
			a.profiles.get(p.kind).programEnded(p.turns)
			delete(a.active, name)
		}
		if checked++; checked >= forgetBatch {
			return
		}
	}
}

// TurnEnded records that a turn has ended.
func (a *Admission) TurnEnded(now time.Time, turn Turn) {
	if p, ok := a.active[turn.Program]; ok {
		p.inFlight--
		p.lastTurnEnd = now
	}
}

// TurnAnswered records a turn that was answered completely. ideal is the estimated time of the turn on
// a lightly loaded engine, zero if it is unknown.
func (a *Admission) TurnAnswered(now time.Time, turn Turn, ideal time.Duration) {
	if ideal <= 0 {
		return
	}
	a.Estimates.ObserveTurn(ideal)
	prof := a.profiles.get(turn.Kind)
	prof.unloadedTurn = updateMean(prof.unloadedTurn, ideal)
	a.Overload.ObserveTurn(now, float64(now.Sub(turn.Arrived))/float64(ideal), prof.allowedSlowdown())
}

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
	// RetryWithin is the longest retry delay that the caller honors, zero if it is unknown.
	RetryWithin time.Duration
}

// late reports whether the program's deadline has passed.
func (t Turn) late(now time.Time) bool {
	return t.TimeLeft != 0 && now.Sub(t.Arrived) >= t.TimeLeft
}

// RefusalReason is why a program may not start.
type RefusalReason string

// The reasons.
const (
	// RefusedForLoad means that the engines have no room for all programs of the priority.
	RefusedForLoad RefusalReason = "load"
	// RefusedAsLate means that the program is unlikely to meet its deadline, and others go first.
	RefusedAsLate RefusalReason = "late"
)

// AdmissionDecision is the admission decision on a turn.
type AdmissionDecision struct {
	// Refuse is set if the turn is refused before any of it has run.
	Refuse bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Reserved is set if the program goes before new ones of its rank once that time has passed.
	Reserved bool
	// Reason is why the program is refused, empty if it is not.
	Reason RefusalReason
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
	pace      startPace
	retries   retrySchedule
	// priorities holds the priorities of the programs that asked to start.
	priorities priorities
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

const (
	// maxLostTimeShare is the share of the time until its deadline that a refused program may lose
	// before it counts as unlikely to meet the deadline. With 0.1, retries take places under overload from
	// programs that have all of their time: in gate/replay, "full engines" gave 0.49 instead of 0.54.
	maxLostTimeShare = 0.03
	// maxRefused bounds the number of remembered refusals.
	maxRefused = 10_000
	// refusedTimeout is how long a refusal is remembered. It exceeds the time in which a caller retries.
	refusedTimeout = 10 * time.Second
	// programIdleTimeout is the idle time after which a program counts as ended. Most pauses between
	// turns are shorter. forgetBatch is the number of programs that each call of forget checks.
	programIdleTimeout = 2 * time.Second
	forgetBatch        = 8
)

// NewAdmission returns an Admission without any history.
func NewAdmission() *Admission {
	return &Admission{
		profiles: profiles{}, priorities: priorities{}, retries: retrySchedule{advanced: map[int]int{}}, active: map[string]*activeProgram{}, refused: map[string]refusal{},
	}
}

// Admit decides on a turn that has just arrived.
func (a *Admission) Admit(now time.Time, turn Turn) AdmissionDecision {
	decision := AdmissionDecision{Slowdown: a.Overload.Slowdown(now), Utilization: a.Overload.Utilization()}
	if !turn.NewProgram {
		return decision
	}
	a.priorities.seen(now, turn.Priority)
	share := a.Overload.admitShare(now, turn.Priority)
	late := a.unlikelyInTime(now, turn)
	if late && a.mayStartLate(now, turn) {
		return decision
	}
	if !late && a.mayStart(now, turn, share) {
		a.pace.started(now)
		return decision
	}
	decision.Refuse, decision.Reason = true, RefusedForLoad
	if late {
		decision.Reason = RefusedAsLate
	}
	decision.RetryAfter, decision.Reserved = a.refuse(now, turn, late)
	return decision
}

// mayStart decides on a program that can end in time, of whose priority the share is admitted.
func (a *Admission) mayStart(now time.Time, turn Turn, share float64) bool {
	if share >= 1 {
		return true
	}
	admitted := rand.Float64() < share
	if a.refused[turn.Program].onTime(now) {
		return admitted || a.retries.advance(turn.Priority, share)
	}
	return admitted && !a.retries.repay(turn.Priority)
}

// mayStartLate decides on a program that is unlikely to meet its deadline. It starts where all programs in
// time do, of whichever priority, and after the late programs that are before it in the order.
func (a *Admission) mayStartLate(now time.Time, turn Turn) bool {
	leastUrgent := a.priorities.leastUrgent(now, turn.Priority)
	return a.Overload.admitShare(now, leastUrgent) >= 1 && a.pace.mayTakeLate(now) && a.isFirst(now, turn) && a.pace.takeLate()
}

// isFirst reports whether no program that waits is before this one in the order of late programs.
func (a *Admission) isFirst(now time.Time, turn Turn) bool {
	own, ok := a.refused[turn.Program]
	if !ok {
		own = refusal{at: now, priority: turn.Priority}
	}
	for name, other := range a.refused {
		if name != turn.Program && other.before(own) && other.waiting(now) {
			return false
		}
	}
	return true
}

// refuse records the refusal of a program and returns its retry delay. reserved is set if the delay ends
// at a time that is reserved for the program.
func (a *Admission) refuse(now time.Time, turn Turn, late bool) (after time.Duration, reserved bool) {
	rec, ok := a.refused[turn.Program]
	if !ok {
		rec = refusal{at: now, timeLeft: turn.TimeLeft, priority: turn.Priority}
	}
	within := turn.RetryWithin
	if within <= 0 {
		within = defaultRetryWithin
	}
	if !rec.due.After(now) {
		rec.due = time.Time{}
		if !late {
			rec.due, _ = a.retries.reserve(now, a.pace.step(now), within)
		}
	}
	after, reserved = max(rec.due.Sub(now), minRetryAfter), !rec.due.IsZero()
	if !reserved {
		after = spread(within)
	}
	rec.seenAt, rec.retryAfter = now, after
	a.forgetRefused(now)
	if len(a.refused) >= maxRefused {
		clear(a.refused)
	}
	a.refused[turn.Program] = rec
	return after, reserved
}

// forgetRefused removes refused programs that have not returned for refusedTimeout. It checks forgetBatch
// programs per call.
func (a *Admission) forgetRefused(now time.Time) {
	checked := 0
	for name, rec := range a.refused {
		if now.Sub(rec.seenAt) > refusedTimeout {
			delete(a.refused, name)
		}
		if checked++; checked >= forgetBatch {
			return
		}
	}
}

// unlikelyInTime reports whether a program that has not started is unlikely to meet its deadline.
func (a *Admission) unlikelyInTime(now time.Time, turn Turn) bool {
	if turn.late(now) {
		return true
	}
	first, ok := a.refused[turn.Program]
	return ok && first.timeLeft > 0 && float64(now.Sub(first.at)) > maxLostTimeShare*float64(first.timeLeft)
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

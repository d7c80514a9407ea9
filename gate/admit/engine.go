package admit

import (
	"slices"
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/limit"
	"mulleingate.dev/gate/sched"
)

// engine is what is believed of one engine.
type engine struct {
	target types.Target
	load   types.LoadReport
	// heard is when the last report came; zero before the first.
	heard    time.Time
	mine     int
	mineThen int
	// minePolled is mine at the last poll.
	minePolled int
	limit      *limit.Adaptive
	leaving    bool
	// slow is observed over promised step time, at least 1.
	slow float64
	// cached is the believed prefix by program, in tokens.
	cached map[string]int
}

// staleReport is the age from which a report says nothing of load any more.
const staleReport = 5 * time.Second

func (l *Loop) targets(list []types.Target) {
	seen := map[string]bool{}
	for _, t := range list {
		if t.Kind != types.Engine {
			continue
		}
		seen[t.Name] = true
		e, ok := l.engines[t.Name]
		if !ok {
			e = &engine{
				slow: 1, cached: map[string]int{}, limit: limit.NewAdaptive(startLimit, 1, startLimit),
				load: types.LoadReport{MaxBatch: startLimit, PrefillRate: 10_000, StepTime: types.Duration(10 * time.Millisecond), Models: t.Models},
			}
			l.engines[t.Name] = e
		}
		// What an engine said of itself is not taken back by a lagging list.
		leaving := t.Leaving || (e.leaving && e.target.Addr == t.Addr)
		e.target = t
		e.leaving = leaving
	}
	for name, e := range l.engines {
		if !seen[name] && e.mine == 0 {
			delete(l.engines, name)
		} else if !seen[name] {
			e.leaving = true
		}
	}
}

func (l *Loop) report(m lease.Report) {
	e, ok := l.engines[m.Load.Name]
	if !ok {
		return
	}
	fresh := m.Load.At.After(e.load.At)
	e.load = m.Load
	e.heard = time.Now()
	// The report was made somewhere between the poll before and this one.
	if fresh {
		e.mineThen = e.minePolled
	}
	e.minePolled = e.mine
	e.leaving = e.leaving || m.Load.Leaving
	e.limit.Max = float64(max(1, m.Load.MaxBatch+spareLimit))
	if fresh && float64(m.Load.Queued) > queueShare*float64(m.Load.MaxBatch) {
		e.limit.Overloaded()
	}
	for _, ev := range m.Events {
		if ev.Removed {
			delete(e.cached, ev.Key)
			continue
		}
		e.cached[ev.Key] = ev.Tokens
	}
}

func (l *Loop) forget(programs []string) {
	for _, e := range l.engines {
		for _, id := range programs {
			delete(e.cached, id)
		}
	}
	for _, id := range programs {
		l.pauses.ProgramEnded(id)
	}
}

func (l *Loop) moved(m lease.Moved) {
	from, okFrom := l.engines[m.From]
	to, okTo := l.engines[m.To]
	if okFrom && okTo {
		to.cached[m.Program] = from.cached[m.Program]
		delete(from.cached, m.Program)
	}
}

// usable reports whether the engine may take the call, apart from limits.
func (l *Loop) usable(e *engine, ask lease.Request) bool {
	if e.leaving || slices.Contains(ask.Exclude, e.target.Name) {
		return false
	}
	if !slices.Contains(e.load.Models, ask.Input.Model) {
		return false
	}
	return l.placed(e, ask)
}

// placed reports whether the policy allows the engine to run the call and hold its cache.
func (l *Loop) placed(e *engine, ask lease.Request) bool {
	in := ask.Input
	in.Zone = e.target.Zone
	in.Target = e.target.Name
	in.Use = "run"
	if !l.places.Allowed(in) {
		return false
	}
	in.Use = "cache"
	return l.places.Allowed(in)
}

// allowed counts the engines that the policy allows, and those that can be used.
func (l *Loop) allowed(ask lease.Request) (places, live int) {
	for _, e := range l.engines {
		if l.placed(e, ask) {
			places++
		}
		if l.usable(e, ask) {
			live++
		}
	}
	return places, live
}

// backlog is the time for which the engine has work queued beyond its batch.
func (e *engine) backlog() time.Duration {
	c := e.candidate(0, false)
	over := c.Load() - c.MaxBatch
	if over <= 0 || time.Since(e.heard) > staleReport {
		return 0
	}
	perSlot := float64(e.load.OutputTokens) / float64(max(1, e.load.Running+e.load.Queued))
	return time.Duration(float64(over) / float64(c.MaxBatch) * perSlot * float64(c.Step) * c.Slowdown)
}

func (e *engine) candidate(others int, far bool) sched.Candidate {
	c := sched.Candidate{
		Name: e.target.Name, MaxBatch: max(1, e.load.MaxBatch), PrefillRate: max(1, e.load.PrefillRate),
		Step: time.Duration(e.load.StepTime), CacheUsed: e.load.CacheUsed, CacheSize: e.load.CacheSize,
		InFlight: e.mine, OthersInFlight: others, Slowdown: e.slow, OtherZone: far, HasRoom: e.mine < max(1, e.limit.Limit()),
	}
	if time.Since(e.heard) < staleReport {
		c.Running, c.Queued, c.InFlightAtReport = e.load.Running, e.load.Queued, e.mineThen
		c.PrefillTokens, c.OutputTokens = e.load.PrefillTokens, e.load.OutputTokens
	}
	return c
}

// place tries to give the call a target now.
func (l *Loop) place(now time.Time, req *request) *lease.Lease {
	var cands []sched.Candidate
	var engines []*engine
	for _, e := range l.sorted() {
		if !l.usable(e, req.ask) || l.eject.Ejected(now, e.target.Name) {
			continue
		}
		c := e.candidate(l.elsewhere(e.target.Name), e.target.Zone != l.zone)
		c.CachedTokens = min(e.cached[req.ask.Program], req.ask.PromptTokens)
		cands = append(cands, c)
		engines = append(engines, e)
	}
	expected := l.pauses.AnswerLength(req.ask.Input.Kind, req.ask.ExpectedTokens)
	ask := sched.PlacementRequest{Program: req.ask.Program, PromptTokens: req.ask.PromptTokens, ExpectedTokens: expected}
	i, weighed := sched.Pick(l.opts.Strategy, ask, cands, l.rng)
	if i < 0 {
		return nil
	}
	e := engines[i]
	e.mine++
	tokens := req.ask.PromptTokens - cands[i].CachedTokens + expected
	l.fair.Charge(req.ask.Input.Workspace, int64(tokens))
	place := &lease.Lease{
		Target: e.target, CachedTokens: cands[i].CachedTokens, Candidates: weighed, Waited: now.Sub(req.arrived), Rank: req.rank,
		Started: now, OnFinish: func(p *lease.Lease, res lease.Result) { l.send(finishMsg{lease: p, res: res}) },
	}
	again := l.pauses.TurnStarted(now, req.ask.Program, req.ask.Input.Kind)
	if l.opts.Holds {
		place.KeepCache = l.hold(req.ask, cands[i], again)
	}
	return place
}

func (l *Loop) hold(ask lease.Request, c sched.Candidate, next sched.NextTurn) bool {
	weight := 1 + float64(ask.Input.Turn)/10
	return sched.ShouldHold(sched.HoldRequest{Tokens: ask.PromptTokens + ask.ExpectedTokens, Pause: next.Pause, NextTurnProbability: next.Probability, Weight: weight}, c)
}

// sorted lists the engines by name, so that a seed gives the same choices again.
func (l *Loop) sorted() []*engine {
	out := make([]*engine, 0, len(l.engines))
	for _, e := range l.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *engine) int {
		if a.target.Name < b.target.Name {
			return -1
		}
		return 1
	})
	return out
}

// elsewhere sums up what other boxes have under way at the target.
func (l *Loop) elsewhere(target string) int {
	n := 0
	for _, streams := range l.others {
		n += streams[target]
	}
	return n
}

func (l *Loop) finish(m finishMsg) {
	now := time.Now()
	name := m.lease.Target.Name
	l.pauses.TurnAnswered(now, m.res.Program, m.res.Usage.CompletionTokens)
	e, ok := l.engines[name]
	if !ok {
		return
	}
	e.mine--
	if m.res.Refused {
		e.limit.Overloaded()
		return
	}
	if !m.res.OK {
		if l.eject.Failure(now, name, len(l.engines)) {
			l.counts.Count("admit.ejections", 1)
			l.logger.Warn("admit: target ejected", "target", name)
		}
		return
	}
	l.eject.Success(name)
	e.cached[m.res.Program] = m.res.Usage.PromptTokens + m.res.Usage.CompletionTokens
	e.learn(m.res)
	held := now.Sub(m.lease.Started)
	l.service += time.Duration(serviceGain * float64(held-l.service))
}

// learn adapts speed and limit to what the answer showed.
func (e *engine) learn(res lease.Result) {
	promised := float64(e.load.StepTime)
	if promised > 0 && res.Usage.CompletionTokens > 1 {
		load := float64(min(e.candidate(0, false).Load(), e.load.MaxBatch))
		seen := float64(res.TimePerToken) / (promised * (1 + 0.03*load))
		e.slow = max(1, e.slow+slowGain*(seen-e.slow))
	}
	if e.load.Queued == 0 {
		e.limit.Success()
	}
}

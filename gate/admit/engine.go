package admit

import (
	"slices"
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/limit"
	"mulleingate.dev/gate/sched"
)

// engine is the estimated state of one engine. It is owned by the event loop.
type engine struct {
	target types.Target
	load   types.LoadReport
	// reportedAt is when the last report arrived; zero before the first.
	reportedAt time.Time
	// inFlight is the number of this box's calls at the engine.
	inFlight int
	// inFlightAtReport is the estimated value of inFlight when the engine made its last report:
	// the value at the poll before the one that returned it.
	inFlightAtReport int
	// inFlightAtPoll is inFlight at the last poll.
	inFlightAtPoll int
	limit          *limit.Adaptive
	// leaving says that the engine takes no new calls.
	leaving bool
	// slowdown is the observed step time relative to the reported one, at least 1.
	slowdown float64
	// cached is the estimated length of the cached prefix by program, in tokens.
	cached map[string]int
}

// maxReportAge is the age from which the load in a report is ignored.
const maxReportAge = 5 * time.Second

// setTargets replaces the list of engines. An engine that is no longer listed is removed
// if it has no calls of this box in flight, and marked as leaving otherwise.
func (s *Scheduler) setTargets(list []types.Target) {
	listed := map[string]bool{}
	for _, t := range list {
		if t.Kind != types.Engine {
			continue
		}
		listed[t.Name] = true
		e, ok := s.engines[t.Name]
		if !ok {
			e = &engine{
				slowdown: 1, cached: map[string]int{}, limit: limit.NewAdaptive(initialLimit, 1, initialLimit),
				load: types.LoadReport{MaxBatch: initialLimit, PrefillRate: 10_000, StepTime: types.Duration(10 * time.Millisecond), Models: t.Models},
			}
			s.engines[t.Name] = e
		}
		// The list may lag behind the engine's own report that it is leaving.
		leaving := t.Leaving || (e.leaving && e.target.Addr == t.Addr)
		e.target = t
		e.leaving = leaving
	}
	for name, e := range s.engines {
		if !listed[name] && e.inFlight == 0 {
			delete(s.engines, name)
		} else if !listed[name] {
			e.leaving = true
		}
	}
}

// applyReport updates an engine from its load report and cache events.
func (s *Scheduler) applyReport(m lease.Report) {
	e, ok := s.engines[m.Load.Name]
	if !ok {
		return
	}
	fresh := m.Load.At.After(e.load.At)
	e.load = m.Load
	e.reportedAt = time.Now()
	// A new report was made between the previous poll and this one.
	if fresh {
		e.inFlightAtReport = e.inFlightAtPoll
	}
	e.inFlightAtPoll = e.inFlight
	e.leaving = e.leaving || m.Load.Leaving
	e.limit.Max = float64(max(1, m.Load.MaxBatch+limitHeadroom))
	if fresh && float64(m.Load.Queued) > overloadedQueueShare*float64(m.Load.MaxBatch) {
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

// forgetPrograms drops the cache estimates and turn statistics of programs.
func (s *Scheduler) forgetPrograms(programs []string) {
	for _, e := range s.engines {
		for _, id := range programs {
			delete(e.cached, id)
		}
	}
	for _, id := range programs {
		s.turnStats.ProgramEnded(id)
	}
}

// moveCache records that a program's cache was moved to another engine.
func (s *Scheduler) moveCache(m lease.CacheMoved) {
	from, okFrom := s.engines[m.From]
	to, okTo := s.engines[m.To]
	if okFrom && okTo {
		to.cached[m.Program] = from.cached[m.Program]
		delete(from.cached, m.Program)
	}
}

// usable reports whether the engine may take the call, apart from limits and ejection.
func (s *Scheduler) usable(e *engine, call lease.Request) bool {
	if e.leaving || slices.Contains(call.Exclude, e.target.Name) {
		return false
	}
	if !slices.Contains(e.load.Models, call.Input.Model) {
		return false
	}
	return s.permitted(e, call)
}

// permitted reports whether the policy allows the engine to run the call and hold its cache.
func (s *Scheduler) permitted(e *engine, call lease.Request) bool {
	in := call.Input
	in.Zone = e.target.Zone
	in.Target = e.target.Name
	in.Use = "run"
	if !s.policy.Allowed(in) {
		return false
	}
	in.Use = "cache"
	return s.policy.Allowed(in)
}

// countEngines returns the number of engines that the policy allows and of those that are usable.
func (s *Scheduler) countEngines(call lease.Request) (permitted, usable int) {
	for _, e := range s.engines {
		if s.permitted(e, call) {
			permitted++
		}
		if s.usable(e, call) {
			usable++
		}
	}
	return permitted, usable
}

// backlog estimates the time that the engine needs for the work beyond its batch. It is 0 if
// the last report is too old.
func (e *engine) backlog() time.Duration {
	c := e.candidate(0, false)
	excess := c.Load() - c.MaxBatch
	if excess <= 0 || time.Since(e.reportedAt) > maxReportAge {
		return 0
	}
	perSlot := float64(e.load.OutputTokens) / float64(max(1, e.load.Running+e.load.Queued))
	return time.Duration(float64(excess) / float64(c.MaxBatch) * perSlot * float64(c.Step) * c.Slowdown)
}

// candidate describes the engine for a placement decision. An old report counts as no load.
func (e *engine) candidate(othersInFlight int, otherZone bool) sched.Candidate {
	c := sched.Candidate{
		Name: e.target.Name, MaxBatch: max(1, e.load.MaxBatch), PrefillRate: max(1, e.load.PrefillRate),
		Step: time.Duration(e.load.StepTime), CacheUsed: e.load.CacheUsed, CacheSize: e.load.CacheSize,
		InFlight: e.inFlight, OthersInFlight: othersInFlight, Slowdown: e.slowdown, OtherZone: otherZone,
		HasRoom: e.inFlight < max(1, e.limit.Limit()),
	}
	if time.Since(e.reportedAt) < maxReportAge {
		c.Running, c.Queued, c.InFlightAtReport = e.load.Running, e.load.Queued, e.inFlightAtReport
		c.PrefillTokens, c.OutputTokens = e.load.PrefillTokens, e.load.OutputTokens
	}
	return c
}

// place grants the call a lease on an engine, or returns nil if no engine can take it now.
func (s *Scheduler) place(now time.Time, req *request) *lease.Lease {
	var candidates []sched.Candidate
	var engines []*engine
	for _, e := range s.sortedEngines() {
		if !s.usable(e, req.call) || s.ejector.Ejected(now, e.target.Name) {
			continue
		}
		c := e.candidate(s.othersInFlight(e.target.Name), e.target.Zone != s.zone)
		c.CachedTokens = min(e.cached[req.call.Program], req.call.PromptTokens)
		candidates = append(candidates, c)
		engines = append(engines, e)
	}
	expected := s.turnStats.AnswerLength(req.call.Input.Kind, req.call.ExpectedTokens)
	placement := sched.PlacementRequest{
		Program: req.call.Program, PromptTokens: req.call.PromptTokens, ExpectedTokens: expected,
	}
	i, scored := sched.Pick(s.opts.Strategy, placement, candidates, s.rng)
	if i < 0 {
		return nil
	}
	e := engines[i]
	e.inFlight++
	tokens := req.call.PromptTokens - candidates[i].CachedTokens + expected
	s.fairShare.Charge(req.call.Input.Workspace, int64(tokens))
	granted := &lease.Lease{
		Target: e.target, CachedTokens: candidates[i].CachedTokens, Candidates: scored, Waited: now.Sub(req.arrived), Rank: req.rank,
		Started: now, OnFinish: func(finished *lease.Lease, res lease.Result) { s.send(finishMsg{lease: finished, res: res}) },
	}
	next := s.turnStats.TurnStarted(now, req.call.Program, req.call.Input.Kind)
	if s.opts.HoldCaches {
		granted.KeepCache = s.shouldHold(req.call, candidates[i], next)
	}
	return granted
}

// shouldHold reports whether the engine should keep the cache of the call's program until
// the next turn.
func (s *Scheduler) shouldHold(call lease.Request, c sched.Candidate, next sched.NextTurn) bool {
	weight := 1 + float64(call.Input.Turn)/10
	return sched.ShouldHold(sched.HoldRequest{Tokens: call.PromptTokens + call.ExpectedTokens, Pause: next.Pause, NextTurnProbability: next.Probability, Weight: weight}, c)
}

// sortedEngines returns the engines by name, so that a seed always gives the same choices.
func (s *Scheduler) sortedEngines() []*engine {
	out := make([]*engine, 0, len(s.engines))
	for _, e := range s.engines {
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

// othersInFlight returns the number of other boxes' streams in flight at the target.
func (s *Scheduler) othersInFlight(target string) int {
	n := 0
	for _, streams := range s.remoteStreams {
		n += streams[target]
	}
	return n
}

// finish ends a lease and updates the engine's limit, ejection and cache estimate from its result.
func (s *Scheduler) finish(m finishMsg) {
	now := time.Now()
	name := m.lease.Target.Name
	s.turnStats.TurnAnswered(now, m.res.Program, m.res.Usage.CompletionTokens)
	e, ok := s.engines[name]
	if !ok {
		return
	}
	e.inFlight--
	if m.res.Refused {
		e.limit.Overloaded()
		return
	}
	if !m.res.OK {
		if s.ejector.Failure(now, name, len(s.engines)) {
			s.counts.Count("admit.ejections", 1)
			s.logger.Warn("admit: target ejected", "target", name)
		}
		return
	}
	s.ejector.Success(name)
	e.cached[m.res.Program] = m.res.Usage.PromptTokens + m.res.Usage.CompletionTokens
	e.observe(m.res)
	held := now.Sub(m.lease.Started)
	s.serviceTime += time.Duration(serviceGain * float64(held-s.serviceTime))
}

// observe adapts the engine's slowdown and concurrency limit to a completed answer.
func (e *engine) observe(res lease.Result) {
	reported := float64(e.load.StepTime)
	if reported > 0 && res.Usage.CompletionTokens > 1 {
		load := float64(min(e.candidate(0, false).Load(), e.load.MaxBatch))
		observed := float64(res.TimePerToken) / (reported * (1 + 0.03*load))
		e.slowdown = max(1, e.slowdown+slowdownGain*(observed-e.slowdown))
	}
	if e.load.Queued == 0 {
		e.limit.Success()
	}
}

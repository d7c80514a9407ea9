package admit

import (
	"sort"
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
)

// Status returns the status of every engine, by name.
func (s *Scheduler) Status() []types.EngineStatus {
	var out []types.EngineStatus
	s.query(func(s *Scheduler) {
		now := time.Now()
		for _, e := range s.sortedEngines() {
			out = append(out, types.EngineStatus{
				Name: e.target.Name, Zone: e.target.Zone, Leaving: e.leaving, Ejected: s.ejector.Ejected(now, e.target.Name),
				InFlight: e.inFlight, Limit: e.limit.Limit(), Running: e.load.Running, Queued: e.load.Queued, Slowdown: e.slowdown,
				CachedPrograms: len(e.cached), ReportAge: now.Sub(e.reportedAt),
			})
		}
	})
	return out
}

// InFlight returns the number of this box's streams in flight by target.
func (s *Scheduler) InFlight() map[string]int {
	out := map[string]int{}
	s.query(func(s *Scheduler) {
		for name, e := range s.engines {
			out[name] = e.inFlight
		}
	})
	return out
}

// LeavingEngines returns the names of the engines that take no new work, sorted.
func (s *Scheduler) LeavingEngines() []string {
	var out []string
	s.query(func(s *Scheduler) {
		for name, e := range s.engines {
			if e.leaving {
				out = append(out, name)
			}
		}
	})
	sort.Strings(out)
	return out
}

// CachedPrograms returns the programs that each engine is estimated to cache, by engine.
func (s *Scheduler) CachedPrograms() map[string][]string {
	out := map[string][]string{}
	s.query(func(s *Scheduler) {
		for name, e := range s.engines {
			for program := range e.cached {
				out[name] = append(out[name], program)
			}
		}
	})
	return out
}

// EnginesCaching returns the engines that are estimated to cache the program.
func (s *Scheduler) EnginesCaching(program string) []string {
	var out []string
	s.query(func(s *Scheduler) {
		for name, e := range s.engines {
			if _, ok := e.cached[program]; ok {
				out = append(out, name)
			}
		}
	})
	return out
}

// query runs a function in the event loop and waits for it. The function does not run if
// the loop has stopped.
func (s *Scheduler) query(run func(s *Scheduler)) {
	done := make(chan struct{})
	s.send(queryMsg{run: func(s *Scheduler) {
		run(s)
		close(done)
	}})
	select {
	case <-done:
	case <-s.done:
	}
}

// EvacuationTarget returns the usable engine with the most free cache, to which a cache can be moved.
func (s *Scheduler) EvacuationTarget(call lease.Request) (types.Target, bool) {
	var best *engine
	s.query(func(s *Scheduler) {
		for _, e := range s.sortedEngines() {
			if s.usable(e, call) && (best == nil || e.freeCache() > best.freeCache()) {
				best = e
			}
		}
	})
	if best == nil {
		return types.Target{}, false
	}
	return best.target, true
}

// freeCache returns the engine's unused cache as last reported.
func (e *engine) freeCache() int64 {
	return e.load.CacheSize - e.load.CacheUsed
}

package admit

import (
	"sort"
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
)

// Status lists the engines.
func (l *Loop) Status() []types.EngineStatus {
	var out []types.EngineStatus
	l.query(func(l *Loop) {
		now := time.Now()
		for _, e := range l.sorted() {
			out = append(out, types.EngineStatus{
				Name: e.target.Name, Zone: e.target.Zone, Leaving: e.leaving, Ejected: l.eject.Ejected(now, e.target.Name),
				InFlight: e.mine, Limit: e.limit.Limit(), Running: e.load.Running, Queued: e.load.Queued, Slowdown: e.slow,
				CachedPrograms: len(e.cached), ReportAge: now.Sub(e.heard),
			})
		}
	})
	return out
}

// Mine returns this box's streams under way by target.
func (l *Loop) Mine() map[string]int {
	out := map[string]int{}
	l.query(func(l *Loop) {
		for name, e := range l.engines {
			out[name] = e.mine
		}
	})
	return out
}

// Leaving lists the engines that are known to leave.
func (l *Loop) Leaving() []string {
	var out []string
	l.query(func(l *Loop) {
		for name, e := range l.engines {
			if e.leaving {
				out = append(out, name)
			}
		}
	})
	sort.Strings(out)
	return out
}

// Holders returns which engines are believed to cache which programs.
func (l *Loop) Holders() map[string][]string {
	out := map[string][]string{}
	l.query(func(l *Loop) {
		for name, e := range l.engines {
			for program := range e.cached {
				out[name] = append(out[name], program)
			}
		}
	})
	return out
}

// HoldersOf returns the engines believed to cache a program.
func (l *Loop) HoldersOf(program string) []string {
	var out []string
	l.query(func(l *Loop) {
		for name, e := range l.engines {
			if _, ok := e.cached[program]; ok {
				out = append(out, name)
			}
		}
	})
	return out
}

func (l *Loop) query(run func(l *Loop)) {
	done := make(chan struct{})
	l.send(queryMsg{run: func(l *Loop) {
		run(l)
		close(done)
	}})
	select {
	case <-done:
	case <-l.done:
	}
}

// EvacuationTarget finds the usable engine with the most free cache, for a prefix that has to move.
func (l *Loop) EvacuationTarget(ask lease.Request) (types.Target, bool) {
	var best *engine
	l.query(func(l *Loop) {
		for _, e := range l.sorted() {
			if l.usable(e, ask) && (best == nil || e.free() > best.free()) {
				best = e
			}
		}
	})
	if best == nil {
		return types.Target{}, false
	}
	return best.target, true
}

func (e *engine) free() int64 {
	return e.load.CacheSize - e.load.CacheUsed
}

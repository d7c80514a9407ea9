package engine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
)

// Queue receives the engines' reports and knows which engines cache which programs.
type Queue interface {
	Notify(m lease.Message)
	EnginesCaching(program string) []string
	CachedPrograms() map[string][]string
}

// Lists calls registered callbacks with each update of the platform's list.
type Lists interface {
	OnList(callback func(types.PlatformList))
}

// Counts receives metrics.
type Counts interface {
	Count(name string, n int64)
}

// Timing holds the intervals of polling.
type Timing struct {
	// PollInterval is the interval between polls of an engine that runs calls of this box,
	// IdlePollInterval that of other engines, and SyncInterval the interval between reads of an
	// engine's complete cache list.
	PollInterval, IdlePollInterval, SyncInterval time.Duration
	// SubsetSize is the maximum number of engines that a box uses in its own zone, and separately
	// in all other zones together.
	SubsetSize int
}

const (
	pollTimeout = 2 * time.Second
	syncTimeout = 5 * time.Second
)

// Engines is the service that polls engines and sends them calls and orders.
type Engines struct {
	self   string
	zone   string
	queue  Queue
	timing Timing
	counts Counts
	logger *slog.Logger
	http   *client.Client

	mu      sync.Mutex
	targets map[string]types.Target
	pollers map[string]context.CancelFunc
	// calls counts this box's calls in flight by engine.
	calls      map[string]int
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New creates the service for the box self in zone.
func New(self, zone string, queue Queue, lists Lists, timing Timing, counts Counts, logger *slog.Logger) *Engines {
	s := &Engines{
		self: self, zone: zone, queue: queue, timing: timing, counts: counts, logger: logger,
		http: client.New("engine", nil), targets: map[string]types.Target{}, pollers: map[string]context.CancelFunc{}, calls: map[string]int{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	lists.OnList(s.updateTargets)
	return s
}

// Start does nothing; polling begins with the first list.
func (s *Engines) Start(context.Context) error {
	return nil
}

// Stop stops polling and waits for the pollers to end.
func (s *Engines) Stop(context.Context) error {
	s.stop()
	s.goroutines.Wait()
	return nil
}

// updateTargets selects engines from the list, starts and stops their pollers accordingly, and
// sends the selection to the queue.
func (s *Engines) updateTargets(list types.PlatformList) {
	selected := s.selectEngines(list.Targets)
	s.mu.Lock()
	next := map[string]types.Target{}
	for _, t := range selected {
		next[t.Name] = t
		if _, ok := s.pollers[t.Name]; !ok && s.ctx.Err() == nil {
			ctx, stop := context.WithCancel(s.ctx)
			s.pollers[t.Name] = stop
			s.goroutines.Go(func() { s.poll(ctx, t.Name) })
		}
	}
	for name, stop := range s.pollers {
		if _, ok := next[name]; !ok {
			stop()
			delete(s.pollers, name)
		}
	}
	s.targets = next
	s.mu.Unlock()
	s.queue.Notify(lease.Targets{List: selected})
}

// selectEngines selects at most SubsetSize engines in this box's zone and as many in other zones,
// so that the cost of polling does not grow with the fleet.
func (s *Engines) selectEngines(all []types.Target) []types.Target {
	var sameZone, otherZones []types.Target
	for _, t := range all {
		switch {
		case t.Kind != types.Engine:
		case t.Zone == s.zone:
			sameZone = append(sameZone, t)
		default:
			otherZones = append(otherZones, t)
		}
	}
	return append(s.selectSubset(sameZone), s.selectSubset(otherZones)...)
}

// selectSubset returns at most SubsetSize of the targets, selected by rendezvous hashing.
func (s *Engines) selectSubset(targets []types.Target) []types.Target {
	if len(targets) <= s.timing.SubsetSize {
		return targets
	}
	var subset []types.Target
	for _, i := range ident.RendezvousTop(s.self, len(targets), func(i int) string { return targets[i].Name }, s.timing.SubsetSize) {
		subset = append(subset, targets[i])
	}
	return subset
}

// Target returns the selected engine with the given name.
func (s *Engines) Target(name string) (types.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	return t, ok
}

// Targets lists the selected engines by name.
func (s *Engines) Targets() []types.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]types.Target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

type loadResponse struct {
	Load   types.LoadReport   `json:"load"`
	Events []types.CacheEvent `json:"events"`
}

func (s *Engines) poll(ctx context.Context, name string) {
	after := int64(0)
	lastSync := time.Time{}
	for {
		if target, ok := s.Target(name); ok {
			after = s.pollOnce(ctx, target, after)
			if time.Since(lastSync) > s.timing.SyncInterval {
				s.syncCache(ctx, target)
				lastSync = time.Now()
			}
		}
		interval := s.pollInterval(name)
		pause := interval*9/10 + rand.N(interval/5+1)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// pollInterval returns PollInterval for engines that run calls of this box and IdlePollInterval
// for others, so that the cost of polling depends mostly on this box's work.
func (s *Engines) pollInterval(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[name] > 0 {
		return s.timing.PollInterval
	}
	return s.timing.IdlePollInterval
}

// addCalls adds delta to the number of calls in flight at an engine.
func (s *Engines) addCalls(name string, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[name] += delta
}

func (s *Engines) pollOnce(ctx context.Context, target types.Target, after int64) int64 {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	var response loadResponse
	path := "/v1/load?after=" + strconv.FormatInt(after, 10)
	if err := s.http.Call(ctx, http.MethodGet, url(target, path), nil, &response); err != nil {
		s.counts.Count("engine.poll_failures", 1)
		return after
	}
	s.queue.Notify(lease.Report{Load: response.Load, Events: response.Events})
	for _, ev := range response.Events {
		after = max(after, ev.Seq)
	}
	return after
}

// cacheItem is one item of an engine's cache list.
type cacheItem struct {
	Tokens int  `json:"tokens"`
	Held   bool `json:"held"`
}

// syncCache sends the engine's complete cache list to the queue, since events may be lost.
func (s *Engines) syncCache(ctx context.Context, target types.Target) {
	ctx, stop := context.WithTimeout(ctx, syncTimeout)
	defer stop()
	var items map[string]cacheItem
	if err := s.http.Call(ctx, http.MethodGet, url(target, "/v1/cache"), nil, &items); err != nil {
		return
	}
	tokens := make(map[string]int, len(items))
	for key, item := range items {
		tokens[key] = item.Tokens
	}
	s.queue.Notify(lease.CacheList{Target: target.Name, Tokens: tokens})
}

// Release releases the caches of programs on all engines that hold them.
func (s *Engines) Release(programs []string) {
	byTarget := map[string][]string{}
	for _, id := range programs {
		for _, name := range s.queue.EnginesCaching(id) {
			byTarget[name] = append(byTarget[name], id)
		}
	}
	s.queue.Notify(lease.ForgetPrograms{Programs: programs})
	for name, ids := range byTarget {
		s.releaseOn(name, ids)
	}
}

func (s *Engines) releaseOn(name string, ids []string) {
	target, ok := s.Target(name)
	if !ok {
		return
	}
	if err := s.SendCacheOrder(s.ctx, target, types.CacheOrder{Op: "release", Keys: ids}); err != nil {
		s.counts.Count("engine.release_failures", 1)
		s.logger.Debug("engine: release failed", "target", name, "error", err)
		return
	}
	s.counts.Count("engine.released", int64(len(ids)))
}

// Sweep releases the caches of all programs for which gone returns true.
func (s *Engines) Sweep(gone func(program string) bool) {
	for name, ids := range s.queue.CachedPrograms() {
		var expired []string
		for _, id := range ids {
			if gone(id) {
				expired = append(expired, id)
			}
		}
		if len(expired) > 0 {
			s.releaseOn(name, expired)
			s.queue.Notify(lease.ForgetPrograms{Programs: expired})
		}
	}
}

// Move copies a program's cache from one engine to another.
func (s *Engines) Move(program string, source, destination types.Target) {
	order := types.CacheOrder{Op: "import", Keys: []string{program}, From: source.Addr}
	if err := s.SendCacheOrder(s.ctx, destination, order); err != nil {
		s.counts.Count("engine.move_failures", 1)
		return
	}
	s.counts.Count("engine.moved", 1)
	s.queue.Notify(lease.CacheMoved{Program: program, From: source.Name, To: destination.Name})
}

// Trim releases a program's cache on all engines except keep.
func (s *Engines) Trim(program, keep string) {
	for _, name := range s.queue.EnginesCaching(program) {
		if name != keep {
			s.Drop(program, name)
		}
	}
}

// Drop releases a program's cache on one engine.
func (s *Engines) Drop(program, name string) {
	s.releaseOn(name, []string{program})
	s.queue.Notify(lease.CacheDropped{Program: program, Target: name})
}

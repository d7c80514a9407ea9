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

// Queue takes what engines report.
type Queue interface {
	Tell(m lease.Message)
	HoldersOf(program string) []string
	Holders() map[string][]string
}

// Lists tells of the platform's lists.
type Lists interface {
	OnList(take func(types.PlatformList))
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
}

// Timing holds the intervals of polling.
type Timing struct {
	// PollInterval is the interval of load reports of engines that this box has calls at, IdlePollInterval
	// that of others, SyncInterval that of whole cache lists.
	PollInterval, IdlePollInterval, SyncInterval time.Duration
	// SubsetSize bounds how many engines of its own zone, and apart from them of other zones,
	// a box looks at.
	SubsetSize int
}

const (
	pollWait = 2 * time.Second
	syncWait = 5 * time.Second
)

// Engines is the service.
type Engines struct {
	self   string
	zone   string
	taker  Queue
	timing Timing
	counts Counts
	logger *slog.Logger
	http   *client.Client

	mu      sync.Mutex
	targets map[string]types.Target
	polls   map[string]context.CancelFunc
	// calls counts this box's calls under way by engine.
	calls map[string]int
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// New makes the service for the box self in zone.
func New(self, zone string, taker Queue, lists Lists, timing Timing, counts Counts, logger *slog.Logger) *Engines {
	s := &Engines{
		self: self, zone: zone, taker: taker, timing: timing, counts: counts, logger: logger,
		http: client.New("engine", nil), targets: map[string]types.Target{}, polls: map[string]context.CancelFunc{}, calls: map[string]int{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	lists.OnList(s.take)
	return s
}

// Start implements a service; polling begins with the first list.
func (s *Engines) Start(context.Context) error {
	return nil
}

// Stop ends polling.
func (s *Engines) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// take follows the list: it polls the chosen engines and tells the queue of them.
func (s *Engines) take(list types.PlatformList) {
	chosen := s.choose(list.Targets)
	s.mu.Lock()
	next := map[string]types.Target{}
	for _, t := range chosen {
		next[t.Name] = t
		if _, ok := s.polls[t.Name]; !ok && s.ctx.Err() == nil {
			ctx, stop := context.WithCancel(s.ctx)
			s.polls[t.Name] = stop
			s.done.Go(func() { s.poll(ctx, t.Name) })
		}
	}
	for name, stop := range s.polls {
		if _, ok := next[name]; !ok {
			stop()
			delete(s.polls, name)
		}
	}
	s.targets = next
	s.mu.Unlock()
	s.taker.Tell(lease.Targets{List: chosen})
}

// choose takes a rendezvous subset for this box, so that its polling does not grow with
// the fleet.
func (s *Engines) choose(all []types.Target) []types.Target {
	var home, away []types.Target
	for _, t := range all {
		switch {
		case t.Kind != types.Engine:
		case t.Zone == s.zone:
			home = append(home, t)
		default:
			away = append(away, t)
		}
	}
	return append(s.closest(home), s.closest(away)...)
}

func (s *Engines) closest(targets []types.Target) []types.Target {
	if len(targets) <= s.timing.SubsetSize {
		return targets
	}
	var near []types.Target
	for _, i := range ident.RendezvousTop(s.self, len(targets), func(i int) string { return targets[i].Name }, s.timing.SubsetSize) {
		near = append(near, targets[i])
	}
	return near
}

// Target finds an engine by name.
func (s *Engines) Target(name string) (types.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	return t, ok
}

// Targets lists the engines that this box looks at.
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

type loadAnswer struct {
	Load   types.LoadReport   `json:"load"`
	Events []types.CacheEvent `json:"events"`
}

func (s *Engines) poll(ctx context.Context, name string) {
	after := int64(0)
	synced := time.Time{}
	for {
		if target, ok := s.Target(name); ok {
			after = s.pollOnce(ctx, target, after)
			if time.Since(synced) > s.timing.SyncInterval {
				s.sync(ctx, target)
				synced = time.Now()
			}
		}
		interval := s.interval(name)
		pause := interval*9/10 + rand.N(interval/5+1)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// interval is short for engines that this box has calls at, so that the cost of polling
// follows its own work and not the number of engines.
func (s *Engines) interval(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[name] > 0 {
		return s.timing.PollInterval
	}
	return s.timing.IdlePollInterval
}

// using counts the calls under way at an engine.
func (s *Engines) using(name string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[name] += change
}

func (s *Engines) pollOnce(ctx context.Context, target types.Target, after int64) int64 {
	ctx, stop := context.WithTimeout(ctx, pollWait)
	defer stop()
	var in loadAnswer
	path := "/v1/load?after=" + strconv.FormatInt(after, 10)
	if err := s.http.Call(ctx, http.MethodGet, url(target, path), nil, &in); err != nil {
		s.counts.Count("engine.poll_failures", 1)
		return after
	}
	s.taker.Tell(lease.Report{Load: in.Load, Events: in.Events})
	for _, ev := range in.Events {
		after = max(after, ev.Seq)
	}
	return after
}

// item is one entry of an engine's cache list.
type item struct {
	Tokens int  `json:"tokens"`
	Held   bool `json:"held"`
}

// sync corrects beliefs from the whole cache list, since events may be lost.
func (s *Engines) sync(ctx context.Context, target types.Target) {
	ctx, stop := context.WithTimeout(ctx, syncWait)
	defer stop()
	var items map[string]item
	if err := s.http.Call(ctx, http.MethodGet, url(target, "/v1/cache"), nil, &items); err != nil {
		return
	}
	tokens := make(map[string]int, len(items))
	for key, it := range items {
		tokens[key] = it.Tokens
	}
	s.taker.Tell(lease.CacheList{Target: target.Name, Tokens: tokens})
}

// Release frees the caches of programs that are gone.
func (s *Engines) Release(programs []string) {
	byTarget := map[string][]string{}
	for _, id := range programs {
		for _, name := range s.taker.HoldersOf(id) {
			byTarget[name] = append(byTarget[name], id)
		}
	}
	s.taker.Tell(lease.ForgetPrograms{Programs: programs})
	for name, ids := range byTarget {
		s.release(name, ids)
	}
}

func (s *Engines) release(name string, ids []string) {
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

// Sweep releases every cached program of which gone says so.
func (s *Engines) Sweep(gone func(program string) bool) {
	for name, ids := range s.taker.Holders() {
		var old []string
		for _, id := range ids {
			if gone(id) {
				old = append(old, id)
			}
		}
		if len(old) > 0 {
			s.release(name, old)
			s.taker.Tell(lease.ForgetPrograms{Programs: old})
		}
	}
}

// Move copies a program's cache from one engine to another.
func (s *Engines) Move(program string, from, to types.Target) {
	order := types.CacheOrder{Op: "import", Keys: []string{program}, From: from.Addr}
	if err := s.SendCacheOrder(s.ctx, to, order); err != nil {
		s.counts.Count("engine.move_failures", 1)
		return
	}
	s.counts.Count("engine.moved", 1)
	s.taker.Tell(lease.Moved{Program: program, From: from.Name, To: to.Name})
}

// Trim releases a program's older prefixes on all engines but the one to keep.
func (s *Engines) Trim(program, keep string) {
	for _, name := range s.taker.HoldersOf(program) {
		if name != keep {
			s.Drop(program, name)
		}
	}
}

// Drop releases a program's cache on one engine.
func (s *Engines) Drop(program, name string) {
	s.release(name, []string{program})
	s.taker.Tell(lease.Dropped{Program: program, Target: name})
}

package target

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/limit"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// firstUsual is what a unit of work is expected to take before any was measured.
	firstUsual = 20 * time.Millisecond
	// smooth and smoothUsual are the weights of a new duration in the running means of a
	// replica and of a kind of work. The second follows all replicas, so it moves slowly.
	smooth      = 0.2
	smoothUsual = 0.05
	// suspectFor is how long a replica gets nothing after a connection to it failed, unless
	// no other is left. About the lag of the list.
	suspectFor = time.Second
)

// state is what is believed of one replica.
type state struct {
	work.Replica
	// busy counts the calls of this box under way there.
	busy int
	// slow is the running mean of the time that a unit of work took here against what it
	// usually takes: 1 for an ordinary replica. A unit is a call of a plain service, or the
	// time between two events of a model.
	slow float64
	// fails is the running share of calls that went wrong lately, 0 to 1, as of failedAt; it
	// fades with time, so that a replica which is left gets another try.
	fails    float64
	failedAt time.Time
	// toldAt is when the other boxes were last told of it.
	toldAt time.Time
	// gone says that the replica is no longer listed, missing that its entry went while the box
	// heard nothing of the log: it may have left, or its entry lapsed and comes back.
	gone, missing bool
	// suspect is until when the replica is avoided after a failed connection.
	suspect time.Time
	// level says that one box in 2^level knows the replica.
	level int
	// parts holds the parts of prompts that were sent there lately, by name.
	parts map[string]part
	pool  Pool
	// life ends with end once the replica is known to have started anew: no answer comes of calls before.
	life context.Context
	end  context.CancelFunc
	// listedAt is when the replica came onto the list, coldUntil until when it says that it is cold, and sent when
	// calls went there while it was.
	listedAt, coldUntil time.Time
	sent                sched.Sent
	// load is its own report, loadAt when it came, and busyThen what busy was.
	load work.Load
	// placedAt is when this box last took a place for a turn there.
	placedAt time.Time
	loadAt   time.Time
	busyThen int
}

// Pool is the connections to a replica.
type Pool interface {
	Close()
	// Limit bounds the connections open at once.
	Limit(connections int)
	// Connected reports whether a call now needs no new connection.
	Connected() bool
}

// Opener makes the connections to a replica.
type Opener interface {
	Open(rep work.Replica, connections int) Pool
}

// Targets is what a box believes of all replicas.
type Targets struct {
	zone   string
	opener Opener
	log    *slog.Logger

	mu       sync.Mutex
	byID     map[string]*state
	services map[string][]*state
	ejector  map[string]*limit.Ejector
	// usual is the running mean of the time of a unit of work, by kind of work.
	usual map[string]time.Duration
	// admissions holds what decides on the turns of each service.
	admissions map[string]*sched.Admission
	conf       *work.Config
	bounds     Bounds
	// evacuated holds the availability zones whose replicas get nothing further.
	evacuated map[string]bool
	// levels are those at which this box's part of the replicas was drawn.
	levels subset.Levels
	// warms tells whether this box may send calls to a cold replica; it must not block.
	warms func(rep work.Replica, model bool) bool
	// found and costs hold the candidates of one choice, kept so that none need be made anew.
	found []*state
	costs []time.Duration
	// placers is the number of boxes that place calls at the same replicas, this one included.
	placers int
	boxes   int
	rng     *rand.Rand
	// failing is told of replicas that fail calls; it must not block.
	failing func(rep work.Replica, share float64)
}

// New makes targets without replicas for a box of the zone.
func New(zone string, opener Opener, log *slog.Logger) *Targets {
	return &Targets{
		zone: zone, opener: opener, log: log, boxes: 1, placers: 1,
		byID: map[string]*state{}, services: map[string][]*state{}, ejector: map[string]*limit.Ejector{},
		usual:      map[string]time.Duration{},
		admissions: map[string]*sched.Admission{},
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		failing:    func(work.Replica, float64) {},
		warms:      func(work.Replica, bool) bool { return true },
	}
}

// OnFailing calls do with a replica that says that it fails calls, and the share of those that
// this box saw, 0 to 1. It must be called before the first lease.
func (t *Targets) OnFailing(do func(rep work.Replica, share float64)) {
	t.failing = do
}

// Failing takes another box's word that a replica fails a share of its calls.
func (t *Targets) Failing(id string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok {
		return
	}
	now := time.Now()
	if told := toldShare * min(max(share, 0), 1); told > s.failing(now) {
		s.fails, s.failedAt = told, now
	}
}

// Configure takes a configuration.
func (t *Targets) Configure(conf *work.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conf = conf
	t.limitPools()
}

// Boxes takes the number of boxes that share the replicas' connections.
func (t *Targets) Boxes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.boxes = max(n, 1)
	t.limitPools()
}

// Placers takes the number of boxes that place calls at the same replicas, this one included.
func (t *Targets) Placers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placers = max(n, 1)
}

// limitPools gives all connections to replicas their share.
func (t *Targets) limitPools() {
	for _, s := range t.byID {
		if s.pool != nil {
			s.pool.Limit(t.share(s))
		}
	}
}

// Put takes a replica as listed.
func (t *Targets) Put(rep work.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, ok := t.byID[rep.ID]
	if ok && rep.Born.Before(have.Born) && !rep.Born.IsZero() {
		return // what is known is of a later start
	}
	if ok && have.Addr == rep.Addr && have.Service == rep.Service && !rep.Reborn(have.Replica) {
		if rep.Born.IsZero() {
			rep.Born = have.Born
		}
		if rep.Draining && !have.Draining {
			t.log.Info("target: replica drains", "replica", rep.ID, "service", rep.Service)
		}
		if have.Draining && !rep.Draining {
			t.log.Warn("target: replica that drained takes work again", "replica", rep.ID, "service", rep.Service)
		}
		have.Replica, have.missing = rep, false
		have.cool(time.Now())
		return
	}
	if ok && rep.Reborn(have.Replica) {
		t.bury(have)
	} else if ok {
		t.remove(have)
	}
	t.add(rep)
}

// bury forgets a start of a replica that is over.
func (t *Targets) bury(s *state) {
	t.remove(s)
	t.eject(s.Service).Good(s.ID)
	s.end()
}

// add takes a replica of which nothing is known.
func (t *Targets) add(rep work.Replica) {
	s := &state{Replica: rep, slow: 1, parts: map[string]part{}, listedAt: time.Now()}
	s.cool(s.listedAt)
	s.life, s.end = context.WithCancel(context.Background())
	s.level = t.levels[subset.Group(rep.Service, rep.Zone)]
	t.byID[rep.ID] = s
	t.services[rep.Service] = append(t.services[rep.Service], s)
	t.log.Info("target: replica listed", "replica", rep.ID, "service", rep.Service, "zone", rep.Zone, "born", rep.Born)
}

// reborn takes a replica that has started anew under its name: nothing that was believed of it holds, and calls
// under way there are lost. Whether it drains, the list says again.
func (t *Targets) reborn(s *state, born time.Time) {
	rep := s.Replica
	rep.Born, rep.Draining, rep.Cold = born, false, 0
	t.bury(s)
	t.log.Warn("target: replica started anew", "replica", rep.ID, "service", rep.Service, "born", born)
	t.add(rep)
}

// Miss takes a replica as missing: what is believed of it is kept, in case that it comes back.
func (t *Targets) Miss(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok {
		s.missing = true
	}
}

// Drop takes a replica off the list. Calls under way there go on.
func (t *Targets) Drop(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok {
		t.remove(s)
		t.log.Info("target: replica gone", "replica", id, "service", s.Service)
	}
}

// placedFor is how long a replica counts as one where this box places turns: longer than programs rest between two.
const placedFor = 5 * time.Second

// Models returns the model replicas of this box's zone that take work and of which it needs reports: all, where it knows
// all; otherwise those where it places turns. Of thousands of replicas most are idle, and each question to one of those
// needs a new connection.
func (t *Targets) Models() []work.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var models []work.Replica
	for _, s := range t.byID {
		if s.Zone != t.zone || s.Draining || s.missing || t.evacuated[s.Zone] || !t.model(s) {
			continue
		}
		if s.level == 0 || s.busy > 0 || now.Sub(s.placedAt) < placedFor {
			models = append(models, s.Replica)
		}
	}
	return models
}

// Loaded takes the load of a replica.
func (t *Targets) Loaded(id string, load work.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok || (load.Born.Before(s.Born) && !load.Born.IsZero()) {
		return
	}
	switch {
	case s.Born.IsZero():
		s.Born = load.Born
	case load.Born.After(s.Born):
		t.reborn(s, load.Born)
		s = t.byID[id]
	}
	s.load, s.loadAt, s.busyThen = load, time.Now(), s.busy
}

// Listed returns the ids of the replicas.
func (t *Targets) Listed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (t *Targets) remove(s *state) {
	s.gone = true
	delete(t.byID, s.ID)
	list := t.services[s.Service]
	for i, other := range list {
		if other == s {
			t.services[s.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if s.pool != nil && s.busy == 0 {
		s.pool.Close()
	}
}

// Ask is what has to be placed.
type Ask struct {
	// Work names the kind of work, for the times that it usually takes.
	Work     string
	Services []work.Split
	// Regions are those of the call; none bind nothing.
	Regions []string
	// Avoid names replicas that the call was sent to.
	Avoid []string
	// Prompt is nil for calls of plain services.
	Prompt *work.Prompt
	// Seen tells, by its Life, how many tokens of the prompt a replica keeps from turns before; may be nil.
	Seen map[string]int
	// Turn is what decides on whether a program begins.
	Turn sched.Turn
}

// Take chooses a replica and takes a place there.
func (t *Targets) Take(ask Ask) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	best, among := t.choose(now, ask, t.draw(ask.Services))
	if best.state == nil {
		return nil, fault.Refuse(fault.NoTarget, "no replica can take the call")
	}
	return t.lease(now, ask, best, among), nil
}

// lease takes a place at the chosen replica.
func (t *Targets) lease(now time.Time, ask Ask, best choice, among int) *Lease {
	s := best.state
	if s.pool == nil {
		s.pool = t.opener.Open(s.Replica, t.share(s))
	}
	s.busy++
	if s.cold(now, t.service(s.Service)) {
		s.sent.Note(now)
	}
	if ask.Prompt != nil {
		s.placedAt = now
		s.remember(now, ask.Prompt.Parts)
		t.admission(s.Service).Begin(now, ask.Turn)
	}
	return &Lease{
		Replica: s.Replica, Cached: best.belief.Cached, Score: best.score, Among: among,
		owner: t, state: s, ask: ask, begun: now, calm: best.belief.Calm(),
	}
}

// Draw takes the levels at which this box's part of the replicas was drawn: of a replica that few boxes know, each has a
// larger share.
func (t *Targets) Draw(levels subset.Levels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.levels = levels
	for _, s := range t.byID {
		s.level = levels[subset.Group(s.Service, s.Zone)]
	}
	t.limitPools()
}

// share is this box's part of the connections that the replica takes.
func (t *Targets) share(s *state) int {
	return t.part(t.service(s.Service).Connections, s.level)
}

// part is this box's part of so many connections, where one box in 2^level knows the replica.
func (t *Targets) part(all, level int) int {
	if all == 0 {
		return leastShare
	}
	return max(all/(t.boxes>>level+spareBoxes), leastShare)
}

const (
	// leastShare is the number of connections that a box may always open to a replica.
	leastShare = 2
	// spareBoxes leaves room for boxes that join later.
	spareBoxes = 4
)

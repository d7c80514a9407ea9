package target

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/limit"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	// initialUnitTime is the assumed time of a unit of work before the first sample.
	initialUnitTime = 20 * time.Millisecond
	// slowdownGain and unitTimeGain are the weights of a new sample in the moving averages of a replica's
	// slowdown and of the unit time of a kind of work. The latter covers all replicas, so it moves more
	// slowly.
	slowdownGain = 0.2
	unitTimeGain = 0.05
	// suspectFor is how long a replica gets no calls after one did not reach it, unless no other replica
	// is available. It is about as long as the list of replicas may lag behind.
	suspectFor = time.Second
)

// state is what this box knows about one replica.
type state struct {
	work.Replica
	// inFlight counts this box's calls in flight at the replica, and awaited those of them without a response yet.
	inFlight, awaited int
	// silence tracks whether the replica responds.
	silence sched.Silence
	// slowdown is the moving average of the time of a unit of work here relative to the usual time: 1 for
	// an ordinary replica. A unit is one call of a plain service, or the interval between two events of a
	// model's answer.
	slowdown float64
	// lastFailureRate is the moving average of failed calls, 0 to 1, as of failureRateAt. failureRate
	// decays it with time, so that an avoided replica is tried again.
	lastFailureRate float64
	failureRateAt   time.Time
	// announcedAt is when this box last told the other boxes that the replica fails calls.
	announcedAt time.Time
	// removed is set once this state is out of use: the replica has left the list, restarted, or changed
	// its address or service. missing is set if its entry disappeared in a log outage: the replica may
	// have left, or its entry has expired and will be written again.
	removed, missing bool
	// restarted is set if the replica restarted without having announced a stop.
	restarted bool
	// suspectUntil is when the replica stops being avoided after a call did not reach it.
	suspectUntil time.Time
	// level is the subset level of the replica's group: on average one box in 2^level knows the replica.
	level int
	// promptParts holds the prompt parts that were recently sent to the replica, by ID.
	promptParts map[string]cachedPart
	// prefixUses holds what was observed of the use of shared parts, by ID.
	prefixUses map[string]*prefixUse
	pool       Pool
	// ctx is cancelled by cancel once the replica is known to have restarted, since earlier calls then
	// get no answer.
	ctx    context.Context
	cancel context.CancelFunc
	// listedAt is when the replica was listed, coldUntil the end of its cold phase according to its entry,
	// and coldCalls the times of the calls sent to it while it was cold.
	listedAt, coldUntil time.Time
	coldCalls           sched.SendLog
	// load is the newest load report.
	load work.Load
	// lastTurnAt is when this box last placed a turn there.
	lastTurnAt time.Time
	// loadAt is when load arrived, and inFlightAtReport the value of inFlight then.
	loadAt           time.Time
	inFlightAtReport int
}

// Pool holds the connections to a replica.
type Pool interface {
	Close()
	// SetLimit sets the maximum number of open connections.
	SetLimit(connections int)
	// HasIdle reports whether a call could now reuse an idle connection.
	HasIdle() bool
}

// PoolOpener creates the connection pool of a replica.
type PoolOpener interface {
	Open(rep work.Replica, connections int) Pool
}

// Targets tracks the replicas of all services and places calls at them.
type Targets struct {
	zone    string
	opener  PoolOpener
	crashes *crash.Tracker
	log     *slog.Logger

	mu   sync.Mutex
	byID map[string]*state
	// services holds the replicas of each service, and ejectors its ejector.
	services map[string][]*state
	ejectors map[string]*limit.Ejector
	// meanUnitTime is the moving average of the time of a unit of work, by kind of work.
	meanUnitTime map[string]time.Duration
	// responseTimes holds the time to the response, by kind of work.
	responseTimes map[string]*sched.ResponseTime
	// admissions holds the admission state of each service.
	admissions map[string]*sched.Admission
	conf       *work.Config
	bounds     Bounds
	// evacuated holds the availability zones whose replicas get no new calls.
	evacuated map[string]bool
	// levels holds the subset levels by which this box's replicas were selected.
	levels subset.Levels
	// warmsReplica reports whether this box may send calls to a cold replica; it must not block.
	warmsReplica func(rep work.Replica, model bool) bool
	// candidates and costs are buffers that each selection reuses, to avoid allocations.
	candidates []*state
	costs      []time.Duration
	// placers is the number of boxes that place calls at the same replicas, including this one.
	placers int
	// prefixes holds the assignment of shared prompt prefixes of each service whose configuration gives the
	// memory of its replicas.
	prefixes map[string]*sched.Prefixes
	// boxes is the number of boxes that share the replicas' connections.
	boxes int
	rng   *rand.Rand
	// onFailing is called with a replica that fails calls and its failure rate; it must not block.
	onFailing func(rep work.Replica, share float64)
}

// New returns Targets without replicas for a box in the zone. crashes learns of all attempts and replicas.
func New(zone string, opener PoolOpener, crashes *crash.Tracker, log *slog.Logger) *Targets {
	t := &Targets{
		zone: zone, opener: opener, crashes: crashes, log: log, boxes: 1, placers: 1,
		byID: map[string]*state{}, services: map[string][]*state{}, ejectors: map[string]*limit.Ejector{},
		meanUnitTime: map[string]time.Duration{}, responseTimes: map[string]*sched.ResponseTime{},
		admissions: map[string]*sched.Admission{}, prefixes: map[string]*sched.Prefixes{},
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		onFailing:    func(work.Replica, float64) {},
		warmsReplica: func(work.Replica, bool) bool { return true },
	}
	crashes.SetReplicas(t)
	return t
}

// Listed implements crash.Replicas.
func (t *Targets) Listed(service string) []work.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var listed []work.Replica
	for _, s := range t.services[service] {
		if !s.Draining && !s.missing {
			listed = append(listed, s.Replica)
		}
	}
	return listed
}

// OnFailing registers do, which is called with a replica that reports failed calls and with its failure
// rate, 0 to 1. It must be called before the first lease.
func (t *Targets) OnFailing(do func(rep work.Replica, share float64)) {
	t.onFailing = do
}

// UpdateFailureRate records a failure rate that another box observed at a replica, unless the known rate
// is higher.
func (t *Targets) UpdateFailureRate(id string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok {
		return
	}
	now := time.Now()
	if reported := peerReportWeight * min(max(share, 0), 1); reported > s.failureRate(now) {
		s.lastFailureRate, s.failureRateAt = reported, now
	}
}

// Configure applies a configuration.
func (t *Targets) Configure(conf *work.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conf = conf
	t.updatePoolLimits()
}

// SetBoxCount sets the number of boxes that share the replicas' connections.
func (t *Targets) SetBoxCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.boxes = max(n, 1)
	t.updatePoolLimits()
}

// SetPlacerCount sets the number of boxes that place calls at the same replicas, including this one.
func (t *Targets) SetPlacerCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placers = max(n, 1)
}

// updatePoolLimits applies this box's current connection limit to every pool.
func (t *Targets) updatePoolLimits() {
	for _, s := range t.byID {
		if s.pool != nil {
			s.pool.SetLimit(t.maxConnections(s))
		}
	}
}

// Put adds or updates a listed replica. An entry with an earlier start time than the known one is
// ignored.
func (t *Targets) Put(rep work.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.byID[rep.ID]
	if ok && rep.StartedAt.Before(known.StartedAt) && !rep.StartedAt.IsZero() {
		return // the known state is of a later start
	}
	if ok && known.Addr == rep.Addr && known.Service == rep.Service && !rep.RestartedSince(known.Replica) {
		if rep.StartedAt.IsZero() {
			rep.StartedAt = known.StartedAt
		}
		if rep.Draining && !known.Draining {
			t.log.Info("target: replica is draining", "replica", rep.ID, "service", rep.Service)
		}
		if known.Draining && !rep.Draining {
			t.log.Warn("target: draining replica accepts work again", "replica", rep.ID, "service", rep.Service)
		}
		known.Replica, known.missing = rep, false
		known.extendCold(time.Now())
		return
	}
	if ok && rep.RestartedSince(known.Replica) {
		t.discardRestarted(known, rep.StartedAt)
	} else if ok {
		t.remove(known)
	}
	t.add(rep)
}

// discardRestarted removes the state of a replica's earlier start and cancels the calls in flight there.
func (t *Targets) discardRestarted(s *state, startedAt time.Time) {
	s.restarted = !s.Draining
	if s.restarted {
		t.crashes.ReplicaRestarted(s.Replica, startedAt)
	}
	t.remove(s)
	t.ejectorFor(s.Service).Success(s.ID)
	s.cancel()
}

// add starts to track a replica without any history.
func (t *Targets) add(rep work.Replica) {
	s := &state{Replica: rep, slowdown: 1, promptParts: map[string]cachedPart{}, listedAt: time.Now()}
	s.extendCold(s.listedAt)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.level = t.levels[subset.Group(rep.Service, rep.Zone)]
	t.byID[rep.ID] = s
	t.crashes.ReplicaListed(rep)
	t.services[rep.Service] = append(t.services[rep.Service], s)
	t.log.Info("target: replica listed", "replica", rep.ID, "service", rep.Service, "zone", rep.Zone, "born", rep.StartedAt)
}

// replaceRestarted resets a replica that has restarted under the same ID. What was known about it no
// longer applies, and calls in flight there are lost. Its next list entry will say whether it is
// draining.
func (t *Targets) replaceRestarted(s *state, startedAt time.Time) {
	rep := s.Replica
	rep.StartedAt, rep.Draining, rep.WarmupLeft = startedAt, false, 0
	t.discardRestarted(s, startedAt)
	t.log.Warn("target: replica restarted", "replica", rep.ID, "service", rep.Service, "born", startedAt)
	t.add(rep)
}

// MarkMissing marks a replica as missing. Its state is kept in case it is listed again.
func (t *Targets) MarkMissing(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok {
		s.missing = true
	}
}

// Remove removes a replica. Calls in flight there continue.
func (t *Targets) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok {
		if !s.Draining {
			t.crashes.ReplicaUnlisted(s.Replica)
		}
		t.remove(s)
		t.log.Info("target: replica removed from the list", "replica", id, "service", s.Service)
	}
}

// recentTurnWindow is how long after a turn a replica counts as one where this box places turns. It
// exceeds the usual pause between two turns of a program.
const recentTurnWindow = 5 * time.Second

// ModelsToPoll returns the model replicas of this box's zone that accept work and whose load this box needs:
// all replicas of groups without a subset level, otherwise those where this box places turns. Most
// replicas of a large fleet are idle, and polling those would open new connections.
func (t *Targets) ModelsToPoll() []work.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var models []work.Replica
	for _, s := range t.byID {
		if s.Zone != t.zone || s.Draining || s.missing || t.evacuated[s.Zone] || !t.isModel(s) {
			continue
		}
		if s.level == 0 || s.inFlight > 0 || now.Sub(s.lastTurnAt) < recentTurnWindow {
			models = append(models, s.Replica)
		}
	}
	return models
}

// UpdateLoad records a load report of a replica. A report with an earlier start time than the known one
// is ignored.
func (t *Targets) UpdateLoad(id string, load work.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok || (load.StartedAt.Before(s.StartedAt) && !load.StartedAt.IsZero()) {
		return
	}
	switch {
	case s.StartedAt.IsZero():
		s.StartedAt = load.StartedAt
	case load.StartedAt.After(s.StartedAt):
		t.replaceRestarted(s, load.StartedAt)
		s = t.byID[id]
	}
	s.load, s.loadAt, s.inFlightAtReport = load, time.Now(), s.inFlight
}

// ListedIDs returns the sorted IDs of the replicas, missing ones included.
func (t *Targets) ListedIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// remove takes a replica out of use. Its pool is closed once its last call has ended.
func (t *Targets) remove(s *state) {
	s.removed = true
	delete(t.byID, s.ID)
	replicas := t.services[s.Service]
	for i, other := range replicas {
		if other == s {
			t.services[s.Service] = append(replicas[:i:i], replicas[i+1:]...)
			break
		}
	}
	if s.pool != nil && s.inFlight == 0 {
		s.pool.Close()
	}
}

// CallRequest describes a call to place.
type CallRequest struct {
	// Request is the fingerprint of the call; empty if crashes under it are not tracked.
	Request work.Fingerprint
	// WorkKind names the kind of work, by which unit times are averaged.
	WorkKind string
	Services []work.Split
	// Regions holds the regions in which the call may run; an empty list allows all.
	Regions []string
	// Exclude lists the IDs of replicas to which the call must not be sent, since it was sent there before.
	Exclude []string
	// Prompt is nil for calls of plain services.
	Prompt *work.Prompt
	// CachedTokens maps a replica's RunID to the number of prompt tokens that it caches from earlier
	// turns; it may be nil.
	CachedTokens map[string]int
	// Turn describes the call to admission control.
	Turn sched.Turn

	// only lists the replicas to choose from, and avoid those not to choose, by work.Replica.RunID. If only is empty, all
	// others are allowed.
	only, avoid []string
}

// SetLevels sets the subset levels by which this box's replicas were selected. The fewer boxes use a
// replica, the larger the share of its connections that each of them may open.
func (t *Targets) SetLevels(levels subset.Levels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.levels = levels
	for _, s := range t.byID {
		s.level = levels[subset.Group(s.Service, s.Zone)]
	}
	t.updatePoolLimits()
}

// maxConnections returns how many connections this box may open to the replica.
func (t *Targets) maxConnections(s *state) int {
	return t.connectionShare(t.serviceConfig(s.Service).Connections, s.level)
}

// connectionShare returns this box's share of total connections to a replica that one box in 2^level
// uses.
func (t *Targets) connectionShare(total, level int) int {
	if total == 0 {
		return minConnections
	}
	return max(total/(t.boxes>>level+spareBoxes), minConnections)
}

const (
	// minConnections is the number of connections to a replica that a box may open in any case.
	minConnections = 2
	// spareBoxes reserves connections for boxes that join later.
	spareBoxes = 4
)

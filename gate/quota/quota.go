package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// askTimeout bounds a request to a counter, during which a call waits. It allows for some round trips
	// between availability zones on a busy box.
	askTimeout = 120 * time.Millisecond
	// lostPause is how long a counter that did not answer is not asked again.
	lostPause = 400 * time.Millisecond
	// prefetchLifetime is how long prefetched calls are valid, and prefetchShare is the part of the last
	// second's calls that is prefetched. Prefetching saves requests, and covers the time in which a counter
	// is lost.
	prefetchLifetime = time.Second
	prefetchShare    = 0.25
	// retryCountersLost is the Retry-After delay while counters are lost: about the time until other boxes
	// replace them.
	retryCountersLost = 600 * time.Millisecond
	// minRetryDelay is the least Retry-After delay of a call beyond the quota.
	minRetryDelay = 50 * time.Millisecond
	// maxQuotaWait is how long a call that begins no program may wait for quota instead of being refused: a
	// retry would not arrive sooner, and callers retry only a few times.
	maxQuotaWait = 200 * time.Millisecond
)

// Peers sends requests to other boxes.
type Peers interface {
	// Quota asks the counter on a box for calls.
	Quota(ctx context.Context, box work.Box, ask GrantRequest) (GrantReply, error)
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

// Quotas enforces the quotas of workspaces on the calls that arrive at one box.
type Quotas struct {
	self    work.Box
	zones   []string
	bounds  Bounds
	locator CounterLocator
	counter *Counter
	peers   Peers
	counts  Counts

	mu         sync.Mutex
	workspaces map[string]*workspaceState
	// lostUntil holds, by box name, until when a counter that did not answer is not asked again.
	lostUntil map[string]time.Time
}

// workspaceState is the state of one workspace's quota at this box.
type workspaceState struct {
	// prefetched is the number of calls granted in advance, valid until prefetchExpiry.
	prefetched     int
	prefetchExpiry time.Time
	// recent counts the calls in the second that began at recentStart, previous those in the second before it.
	recent, previous int
	recentStart      time.Time
	// exhaustedUntil holds the time until which the counter of a zone has no calls left for a kind of
	// request.
	exhaustedUntil map[grantKind]time.Time
}

// grantKind identifies a kind of request: the zone of the counter, and whether a program may begin with the
// call.
type grantKind struct {
	zone   string
	begins bool
}

// New returns the Quotas of the box self; zones are all availability zones.
func New(self work.Box, zones []string, bounds Bounds, locator CounterLocator, counter *Counter, peers Peers, counts Counts) *Quotas {
	return &Quotas{
		self: self, zones: zones, bounds: bounds, locator: locator, counter: counter, peers: peers, counts: counts,
		workspaces: map[string]*workspaceState{}, lostUntil: map[string]time.Time{},
	}
}

// Update drops the state of workspaces that a configuration does not contain, and of counters that may be asked
// again.
func (q *Quotas) Update(now time.Time, conf *work.Config) {
	spaces := workspacesOf(conf)
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.workspaces, func(name string, _ *workspaceState) bool {
		_, kept := spaces[name]
		return !kept
	})
	maps.DeleteFunc(q.lostUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Permit is a call that was counted against a quota.
type Permit struct {
	quotas *Quotas
	space  work.Workspace
	// plannedBy is the counter that has planned the calls of the program that begins with this call; empty if
	// no program begins.
	plannedBy work.Box
}

// Take counts a call against the workspace's quota; begins is set if a program may begin with it. Its faults
// have NotRun set and carry a Retry-After delay. A call that begins no program may wait briefly instead of
// being refused.
func (q *Quotas) Take(ctx context.Context, space work.Workspace, begins bool) (Permit, error) {
	if space.Rate <= 0 {
		return Permit{}, nil
	}
	permit, err := q.tryTake(ctx, space, begins)
	if begins || !fault.Is(err, fault.QuotaReached) || fault.From(err).RetryAfter > maxQuotaWait {
		return permit, err
	}
	select {
	case <-time.After(fault.From(err).RetryAfter):
		return q.tryTake(ctx, space, begins)
	case <-ctx.Done():
		return permit, err
	}
}

// tryTake counts a call if a grant is available now.
func (q *Quotas) tryTake(ctx context.Context, space work.Workspace, begins bool) (Permit, error) {
	permit := Permit{quotas: q, space: space}
	if !begins && q.usePrefetched(space.Name) {
		return permit, nil
	}
	after, unknown := time.Duration(0), false
	for _, zone := range q.zoneOrder(space) {
		answer, box, asked := q.askZone(ctx, space, zone, begins)
		switch {
		case !asked || !answer.IsCounter:
			unknown = true
		case answer.Granted > 0:
			q.addPrefetched(space.Name, answer.Granted-1)
			if begins {
				permit.plannedBy = box
			}
			return permit, nil
		default:
			wait := time.Duration(answer.AfterMillis) * time.Millisecond
			if after == 0 || wait < after {
				after = wait
			}
		}
	}
	if unknown && after == 0 {
		return permit, fault.Refuse(fault.OwnerUnavailable, "the workspace's quota counters cannot be reached now").WithRetryAfter(retryCountersLost)
	}
	return permit, fault.Refuse(fault.QuotaReached, "the workspace has reached its quota").WithRetryAfter(max(after, minRetryDelay))
}

// Refund returns the quota of a call that has not run.
func (p Permit) Refund() {
	if p.quotas == nil || p.space.Rate <= 0 {
		return
	}
	p.quotas.addPrefetched(p.space.Name, 1)
	if p.plannedBy.Name != "" {
		go p.quotas.cancelProgram(p.plannedBy, p.space.Name)
	}
}

// cancelProgram tells a counter that a program did not begin. If the request fails, its calls stay planned.
func (q *Quotas) cancelProgram(box work.Box, workspace string) {
	ctx, stop := context.WithTimeout(context.Background(), askTimeout)
	defer stop()
	if _, err := q.send(ctx, box, GrantRequest{Workspace: workspace, CancelProgram: true}); err != nil {
		q.counts.Count("quota.not_returned", 1)
	}
}

// zoneOrder returns the zones that count the workspace's quota, this box's own zone first.
func (q *Quotas) zoneOrder(space work.Workspace) []string {
	zones := q.bounds.countingZones(space, q.zones)
	if at := slices.Index(zones, q.self.Zone); at > 0 {
		zones[0], zones[at] = zones[at], zones[0]
	}
	return zones
}

// usePrefetched counts a call and takes it from the prefetched ones. It returns false if none is left.
func (q *Quotas) usePrefetched(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := q.stateOf(workspace)
	state.countCall(time.Now())
	if state.prefetched == 0 || !time.Now().Before(state.prefetchExpiry) {
		state.prefetched = 0
		return false
	}
	state.prefetched--
	return true
}

// addPrefetched adds calls granted in advance.
func (q *Quotas) addPrefetched(workspace string, calls int) {
	if calls == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	state := q.stateOf(workspace)
	if !time.Now().Before(state.prefetchExpiry) {
		state.prefetched = 0
	}
	state.prefetched += calls
	state.prefetchExpiry = time.Now().Add(prefetchLifetime)
}

// stateOf returns the state of the workspace and creates it if necessary. q.mu must be held.
func (q *Quotas) stateOf(workspace string) *workspaceState {
	state, ok := q.workspaces[workspace]
	if !ok {
		state = &workspaceState{exhaustedUntil: map[grantKind]time.Time{}}
		q.workspaces[workspace] = state
	}
	return state
}

// countCall counts a call, which determines the size of the next prefetch.
func (s *workspaceState) countCall(now time.Time) {
	if elapsed := now.Sub(s.recentStart); elapsed >= time.Second {
		s.previous = s.recent
		if elapsed >= 2*time.Second {
			s.previous = 0
		}
		s.recent, s.recentStart = 0, now
	}
	s.recent++
}

// prefetchCount returns how many calls to ask for in addition to the waiting one.
func (s *workspaceState) prefetchCount() int {
	return int(prefetchShare * float64(max(s.previous, s.recent)))
}

// askZone asks the counter of a zone for calls. asked is false if there is no counter, it did not answer, or
// it is known to be lost. If it is known to be exhausted, the answer says so without a request.
func (q *Quotas) askZone(ctx context.Context, space work.Workspace, zone string, begins bool) (answer GrantReply, box work.Box, asked bool) {
	box, ok := q.locator.QuotaCounter(space.Name, zone)
	if !ok {
		return GrantReply{}, box, false
	}
	now := time.Now()
	kind := grantKind{zone: zone, begins: begins}
	q.mu.Lock()
	state := q.stateOf(space.Name)
	wait, lost := state.exhaustedUntil[kind].Sub(now), now.Before(q.lostUntil[box.Name])
	msg := GrantRequest{Workspace: space.Name, Want: 1 + state.prefetchCount(), MayStartProgram: begins}
	q.mu.Unlock()
	if wait > 0 {
		return GrantReply{IsCounter: true, AfterMillis: 1 + wait.Milliseconds()}, box, true
	}
	if lost {
		return GrantReply{}, box, false
	}
	askCtx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	answer, err := q.send(askCtx, box, msg)
	if ctx.Err() == nil { // a canceled call does not mean that the counter is lost
		q.recordAnswer(box, space.Name, kind, answer, err)
	}
	return answer, box, err == nil
}

// send sends a request to the counter on a box, which may be this one.
func (q *Quotas) send(ctx context.Context, box work.Box, msg GrantRequest) (GrantReply, error) {
	if box.Name == q.self.Name {
		return q.counter.Grant(time.Now(), msg), nil
	}
	q.counts.Count("quota.asked", 1)
	reply, err := q.peers.Quota(ctx, box, msg)
	return reply.limitTo(msg.Want), err
}

// recordAnswer remembers an exhausted or lost counter, so that it is not asked again for a while.
func (q *Quotas) recordAnswer(box work.Box, workspace string, kind grantKind, answer GrantReply, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil:
		q.counts.Count("quota.counter_lost", 1)
		q.lostUntil[box.Name] = now.Add(lostPause)
	case answer.IsCounter && answer.Granted == 0:
		q.stateOf(workspace).exhaustedUntil[kind] = now.Add(time.Duration(answer.AfterMillis) * time.Millisecond)
	}
}

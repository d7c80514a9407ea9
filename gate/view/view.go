package view

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// Log is the part of the log that a view uses to keep the fleet's members.
type Log interface {
	// Join adds the member to the fleet or renews it for ttl. It takes the last generation that the caller
	// got and returns the current one, which rises with each change of the fleet.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	// Leave removes the member from the fleet.
	Leave(ctx context.Context, member string) error
	// Members returns all members, as of the generation or a later one.
	Members(ctx context.Context, generation int64) ([]string, error)
}

const (
	// leaveTimeout is how long a box that leaves may serve callers after it announced that.
	leaveTimeout = 8 * time.Second
	// vanishedTimeout is how long a box that is no longer a member is taken for one that leaves: it may have announced
	// that before it knew this box. It accepts new connections for less than that.
	vanishedTimeout = 3 * time.Second
)

// peerState is what the view knows about another box.
type peerState struct {
	work.Box
	// member reports whether the last list of members included the box.
	member bool
	// lastSeen is when the box was last listed as a member or, for a box that left, when it announced that.
	lastSeen time.Time
}

// View is the service that tracks the live boxes.
type View struct {
	self   work.Box
	log    Log
	timing Timing
	logger *slog.Logger
	cancel context.CancelFunc
	done   sync.WaitGroup

	// joinSem is a semaphore of one, held during a heartbeat, so that none reaches the log after this box
	// has left; cancelJoin cancels the heartbeat in flight.
	joinSem chan struct{}

	mu         sync.Mutex
	leaving    bool
	cancelJoin context.CancelFunc
	// peers holds the other boxes by name; they count as live.
	peers map[string]peerState
	// departed holds boxes that announced that they leave, by name.
	departed map[string]peerState
	// vanished holds boxes that are no longer members although they did not announce that, by name; lastSeen is when
	// that was found.
	vanished map[string]peerState
	// previousIncarnations holds the incarnation that each box seen to restart had before its current one, by name.
	previousIncarnations map[string]string
	// failures holds the recent failed calls to boxes, by name.
	failures map[string]failureStreak
	// generation is the newest one that the log returned; membersGeneration is the one whose members were read
	// last, or -1 if they must be read.
	generation, membersGeneration int64
	// rereadAt is when the members are read again though the generation has not changed: the log lists a new
	// member only after others have joined with the new generation.
	rereadAt time.Time
	// rereadsLeft is the number of such reads that are left.
	rereadsLeft int
	// logLatency is the latency of the last successful heartbeat.
	logLatency time.Duration
	// startedAt is when the view was started.
	startedAt time.Time
	// answeringSince is the start of the current period in which the log has answered without a gap.
	answeringSince time.Time
	// settled reports whether that period is long enough and the members have been read.
	settled bool
	// hasSettled is set once the view has settled for the first time.
	hasSettled bool
	// heartbeatSentAt is when the newest heartbeat that the log confirmed was sent; heartbeatConfirmedAt is
	// when the confirmation arrived.
	heartbeatSentAt, heartbeatConfirmedAt time.Time
	// live is sorted by name and includes this box unless it is leaving. It is never modified in place.
	live []work.Box
	// liveChanged is set if live must be rebuilt.
	liveChanged bool
	// parsedMembers caches the parsed members of the last list, by their text form.
	parsedMembers map[string]work.Box
	// rankCache caches the owners of slots for live.
	rankCache rankCache
	// onChange holds the callbacks of OnChange.
	onChange []func()
}

// New returns a view for the box self, which is not started yet.
func New(self work.Box, log Log, timing Timing, logger *slog.Logger) *View {
	return &View{
		self: self, log: log, timing: timing, logger: logger, live: []work.Box{self}, membersGeneration: -1, joinSem: make(chan struct{}, 1), cancelJoin: func() {},
		peers: map[string]peerState{}, departed: map[string]peerState{}, vanished: map[string]peerState{}, previousIncarnations: map[string]string{}, failures: map[string]failureStreak{},
	}
}

// OnChange registers a callback that runs after each change of the live boxes or of Settled. It must be called
// before Start.
func (v *View) OnChange(callback func()) {
	v.onChange = append(v.onChange, callback)
}

// Start implements kernel.Service.
func (v *View) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.startedAt = time.Now()
	v.done.Go(func() { v.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (v *View) Stop(context.Context) error {
	v.cancel()
	v.done.Wait()
	return nil
}

// Settled reports whether the log has answered without a gap for long enough that the view is complete.
// Otherwise this box must not take over slots.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settled && time.Since(v.heartbeatConfirmedAt) <= v.memberTTL()
}

// HasSettled reports whether the view has settled at least once since the start.
func (v *View) HasSettled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasSettled
}

// Fresh reports whether this box's last confirmed heartbeat is so recent that its membership can't have
// expired.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.heartbeatSentAt) < v.timing.MemberTTL*3/4
}

// ReadAge returns the time since the log last confirmed a heartbeat. The view may be out of date by that much.
func (v *View) ReadAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.heartbeatConfirmedAt)
}

// Live returns the live boxes that are not leaving, sorted by name. Callers must not modify the slice.
func (v *View) Live() []work.Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.live
}

// Serving returns the boxes that may serve callers: the live ones, and those that leave, which finish first.
func (v *View) Serving() []work.Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	boxes := slices.Clone(v.live)
	for name, peer := range v.departed {
		if _, restarted := v.peers[name]; !restarted && time.Since(peer.lastSeen) < leaveTimeout {
			boxes = append(boxes, peer.Box)
		}
	}
	for name, peer := range v.vanished {
		_, restarted := v.peers[name]
		_, announced := v.departed[name]
		if !restarted && !announced && time.Since(peer.lastSeen) < vanishedTimeout {
			boxes = append(boxes, peer.Box)
		}
	}
	return boxes
}

// Find returns the box with the name and incarnation if it can be called: it is live or left recently, and no
// call to it failed within the last failureWindow.
func (v *View) Find(name, incarnation string) (work.Box, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer, ok := v.peers[name]
	if !ok || peer.Incarnation != incarnation {
		peer, ok = v.departed[name]
	}
	if _, failed := v.failures[name]; failed {
		return work.Box{}, false
	}
	return peer.Box, ok && peer.Incarnation == incarnation
}

// Leave removes this box from the fleet and stops renewing its membership.
func (v *View) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving, v.liveChanged = true, true
	v.cancelJoin()
	v.mu.Unlock()
	v.joinSem <- struct{}{}
	defer func() { <-v.joinSem }()
	ctx, stop := context.WithTimeout(ctx, v.timing.CallTimeout)
	defer stop()
	v.removeSelf(ctx)
	v.update(time.Now())
}

// MarkLeaving records that the box announced that it leaves. It can still be asked for its slots.
func (v *View) MarkLeaving(box work.Box) {
	v.mu.Lock()
	v.departed[box.Name] = peerState{Box: box, lastSeen: time.Now()}
	if have, ok := v.peers[box.Name]; ok && have.Incarnation == box.Incarnation {
		delete(v.peers, box.Name)
		v.liveChanged = true
	}
	v.mu.Unlock()
	v.update(time.Now())
}

// memberTTL returns how long the log keeps a member after its heartbeat.
func (v *View) memberTTL() time.Duration {
	return min(v.timing.MemberTTL+ttlLatencies*v.logLatency, v.timing.MaxMemberTTL)
}

// run sends heartbeats until ctx ends. Between two of them it updates the view at the moment when it settles.
func (v *View) run(ctx context.Context) {
	tick := time.NewTicker(v.timing.HeartbeatInterval)
	defer tick.Stop()
	for {
		if err := v.heartbeat(ctx); err != nil && ctx.Err() == nil {
			v.logger.Debug("view: heartbeat failed", "cause", err)
		}
		settle := time.NewTimer(v.untilSettled())
		select {
		case <-ctx.Done():
			return
		case <-settle.C:
			v.update(time.Now())
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		case <-tick.C:
			settle.Stop()
		}
	}
}

// untilSettled returns the time until the view may settle, or an hour if it has settled already or the log has
// not answered yet.
func (v *View) untilSettled() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settled || v.answeringSince.IsZero() {
		return time.Hour
	}
	return max(time.Until(v.answeringSince.Add(v.settlePeriod())), 0)
}

// heartbeat renews this box's membership and reads the members if they may have changed.
func (v *View) heartbeat(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, v.timing.CallTimeout)
	defer stop()
	start := time.Now()
	generation, leaving, err := v.join(ctx)
	if err != nil {
		return err
	}
	v.recordJoin(start, generation)
	if v.membersStale() || leaving {
		members, err := v.log.Members(ctx, generation)
		if err != nil {
			return err
		}
		if leaving && slices.Contains(members, v.self.Member()) {
			// The log applied an earlier heartbeat, whose answer was lost, after this box had left.
			// Others would take this box for an owner of slots.
			v.removeSelf(ctx)
		}
		v.applyMembers(generation, members)
	}
	v.update(time.Now())
	return nil
}

// removeSelf asks the log to remove this box from the fleet.
func (v *View) removeSelf(ctx context.Context) {
	if err := v.log.Leave(ctx, v.self.Member()); err != nil {
		v.logger.Warn("view: could not leave the fleet", "cause", err)
	}
}

// join renews this box's membership unless the box is leaving.
func (v *View) join(ctx context.Context) (generation int64, leaving bool, err error) {
	v.joinSem <- struct{}{}
	defer func() { <-v.joinSem }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	v.mu.Lock()
	v.cancelJoin = stop
	leaving, generation = v.leaving, v.generation
	ttl := v.memberTTL()
	v.mu.Unlock()
	if leaving {
		return generation, true, nil
	}
	generation, err = v.joinTwice(ctx, generation, ttl)
	return generation, false, err
}

// joinTwice joins, and joins again at once if the generation has changed, since the log lists a new member only
// after the others have joined with the new generation.
func (v *View) joinTwice(ctx context.Context, generation int64, ttl time.Duration) (int64, error) {
	member := v.self.Member()
	got, err := v.log.Join(ctx, member, generation, ttl)
	if err != nil || got == generation {
		return got, err
	}
	return v.log.Join(ctx, member, got, ttl)
}

// recordJoin records that the log confirmed a heartbeat that was sent at start.
func (v *View) recordJoin(start time.Time, generation int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if now.Sub(v.heartbeatConfirmedAt) > v.memberTTL() {
		// Memberships may have expired during the gap, so the settling and grace periods start again.
		v.answeringSince, v.membersGeneration = now, -1
	}
	v.logLatency, v.heartbeatSentAt, v.heartbeatConfirmedAt, v.generation = now.Sub(start), start, now, generation
}

// membersStale reports whether the members must be read: after a change of the fleet or when a reread is due.
func (v *View) membersStale() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.membersGeneration != v.generation || time.Now().After(v.rereadAt)
}

// update drops boxes that are no longer members, rebuilds the list of live boxes and runs the callbacks if it
// or the settled state has changed.
func (v *View) update(now time.Time) {
	v.mu.Lock()
	v.expire(now)
	live := v.live
	if v.liveChanged {
		live = v.listLive()
	}
	// Until the members have been read, this box knows no other and must not take itself for the only one.
	membersKnown := v.membersGeneration >= 0
	settled := membersKnown && !v.answeringSince.IsZero() && now.Sub(v.answeringSince) >= v.settlePeriod()
	unchanged := settled == v.settled && (!v.liveChanged || slices.Equal(live, v.live))
	if !unchanged {
		v.live = live // an unchanged list keeps its slice, which keeps the cached owners valid
	}
	v.settled, v.liveChanged = settled, false
	v.hasSettled = v.hasSettled || settled
	v.mu.Unlock()
	if unchanged {
		return
	}
	v.logger.Info("view: live boxes changed", "live", len(live), "settled", settled)
	for _, callback := range v.onChange {
		callback()
	}
}

// expire drops former members after the grace period, boxes that left long ago and old failures.
func (v *View) expire(now time.Time) {
	for name, peer := range v.peers {
		if !peer.member && now.Sub(v.answeringSince) >= v.timing.OutageGrace {
			v.logger.Info("view: box left or died", "other", name, "heard", now.Sub(peer.lastSeen))
			delete(v.peers, name)
			v.vanished[name] = peerState{Box: peer.Box, lastSeen: now}
			v.liveChanged = true
		}
	}
	for name, peer := range v.vanished {
		if now.Sub(peer.lastSeen) > vanishedTimeout {
			delete(v.vanished, name)
		}
	}
	for name, peer := range v.departed {
		if now.Sub(peer.lastSeen) > v.timing.DepartedTTL {
			delete(v.departed, name)
		}
	}
	for name, streak := range v.failures {
		if now.Sub(streak.last) > failureWindow {
			delete(v.failures, name)
		}
	}
}

// settlePeriod returns how long the log must have answered without a gap before the view settles.
func (v *View) settlePeriod() time.Duration {
	if v.answeringSince.Sub(v.startedAt) < v.timing.HeartbeatInterval {
		return v.timing.StartSettlePeriod
	}
	return v.timing.SettlePeriod
}

// listLive returns the live boxes, sorted by name.
func (v *View) listLive() []work.Box {
	var live []work.Box
	if !v.leaving {
		live = append(live, v.self)
	}
	for _, peer := range v.peers {
		live = append(live, peer.Box)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

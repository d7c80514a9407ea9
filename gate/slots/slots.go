package slots

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/base/wire"
	"mulleingate.dev/gate/desk"
)

// Log is the platform's durable log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error)
}

// View is this box's view of the live boxes and the slots that they own.
type View interface {
	// Settled reports whether the view is complete enough to decide on claims.
	Settled() bool
	// Live lists the live boxes, including this one.
	Live() []types.Member
	// Owner returns the live box that announces the slot with the highest epoch, and the epoch.
	Owner(slot string) (types.Member, int64, bool)
	// AddToHeartbeat registers a function that adds to this box's heartbeats.
	AddToHeartbeat(fill func(beat *wire.BeatRequest))
}

// Settings provides the configuration of slots.
type Settings interface {
	// Slots lists all configured slots, or none before a configuration is loaded.
	Slots() []ident.Slot
	// KeyRetention returns how long idempotency keys are kept.
	KeyRetention() time.Duration
}

// Watcher is notified of programs that a sweep of an owned slot ended and of slots that this box
// claimed.
type Watcher interface {
	Ended(slot ident.Slot, programs []string)
	Claimed(slot ident.Slot)
}

// Timing holds the intervals and limits of slot ownership.
type Timing struct {
	// CheckInterval is the interval between checks of slot ownership.
	CheckInterval time.Duration
	// FlushDelay is how long records that are not urgent wait to be batched with others.
	FlushDelay time.Duration
	// AdoptionDelay is how long a zone must have no live boxes before other zones claim its slots.
	AdoptionDelay time.Duration
	// Retention is how long the log keeps entries; 0 means forever.
	Retention time.Duration
	// AppendRate limits this box's appends per second; 0 means no limit.
	AppendRate float64
	// MaxQueued limits the records waiting to be appended for one slot.
	MaxQueued int
}

// Slots is the service that claims, serves and releases slots on this box.
type Slots struct {
	self          types.Member
	incarnation   string
	log           Log
	view          View
	settings      Settings
	timing        Timing
	logger        *slog.Logger
	appendLimiter *rate.Limiter
	counts        Counts

	mu       sync.Mutex
	watchers []Watcher
	owners   map[ident.Slot]*owner
	// emptySince holds the time since which a zone has had no live boxes.
	emptySince map[string]time.Time
	leaving    bool
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// Counts receives metrics of slot ownership.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// New creates the service; self must hold the name, zone and peer address of this box.
func New(self types.Member, incarnation string, log Log, view View, settings Settings, timing Timing, counts Counts, logger *slog.Logger) *Slots {
	limit := rate.Inf
	if timing.AppendRate > 0 {
		limit = rate.Limit(timing.AppendRate)
	}
	return &Slots{
		self: self, incarnation: incarnation, log: log, view: view, settings: settings, timing: timing, counts: counts, logger: logger,
		appendLimiter: rate.NewLimiter(limit, max(1, int(timing.AppendRate))),
		owners:        map[ident.Slot]*owner{}, emptySince: map[string]time.Time{},
	}
}

// Watch adds a watcher. It must be called before Start.
func (s *Slots) Watch(w Watcher) {
	s.watchers = append(s.watchers, w)
}

// Start starts claiming the slots that rendezvous hashing assigns to this box.
func (s *Slots) Start(context.Context) error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.AddToHeartbeat(s.fillHeartbeat)
	s.goroutines.Go(s.run)
	return nil
}

// Release releases all slots. For each slot it waits until calls that may not be repeated
// have ended, and at most turnGrace for turns; the answers of later turns reach the next owner in
// continuations. It returns early if ctx ends.
func (s *Slots) Release(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	owners := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		owners = append(owners, o)
	}
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, o := range owners {
		group.Go(func() { o.release(ctx) })
	}
	group.Wait()
}

// Stop ends the service at once. Slots that were not released stay unowned until another box
// claims them.
func (s *Slots) Stop(context.Context) error {
	s.stop()
	s.goroutines.Wait()
	return nil
}

func (s *Slots) fillHeartbeat(beat *wire.BeatRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.owners {
		if epoch := o.epoch.Load(); epoch > 0 {
			beat.Owned = append(beat.Owned, &wire.Owned{Slot: id.String(), Epoch: epoch})
		}
	}
}

func (s *Slots) run() {
	ticker := time.NewTicker(s.timing.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.reconcile()
		}
	}
}

// reconcile claims the slots that have no live owner and whose preferred box is this one, and
// gives up those that a live box owns under a higher epoch.
func (s *Slots) reconcile() {
	live := s.view.Live()
	s.updateEmptyZones(live)
	owned := s.Owned()
	mayNotClaim := !s.view.Settled() || s.isLeaving()
	for _, id := range s.settings.Slots() {
		owner, epoch, ok := s.view.Owner(id.String())
		ownEpoch := owned[id]
		if ok && ownEpoch > 0 && epoch > ownEpoch && owner.Name != s.self.Name {
			s.owner(id).send(supersededMsg{epoch: ownEpoch})
		}
		if ok || ownEpoch > 0 || mayNotClaim {
			continue
		}
		if s.preferredBox(id, live) == s.self.Name {
			s.owner(id).send(claimMsg{})
		}
	}
}

func (s *Slots) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Slots) updateEmptyZones(live []types.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	populated := map[string]bool{}
	for _, m := range live {
		populated[m.Zone] = true
	}
	for _, id := range s.settings.Slots() {
		if populated[id.Zone] {
			delete(s.emptySince, id.Zone)
			continue
		}
		if _, ok := s.emptySince[id.Zone]; !ok {
			s.emptySince[id.Zone] = time.Now()
		}
	}
}

// preferredBox returns the box that rendezvous hashing selects among the live boxes of the
// slot's zone, or among all live boxes once that zone has been empty for AdoptionDelay. Leaving
// boxes are excluded. It returns "" if there is no candidate.
func (s *Slots) preferredBox(id ident.Slot, live []types.Member) string {
	var sameZone, all []string
	for _, m := range live {
		if m.Leaving {
			continue
		}
		all = append(all, m.Name)
		if m.Zone == id.Zone {
			sameZone = append(sameZone, m.Name)
		}
	}
	if len(sameZone) > 0 {
		return ident.Rendezvous(id.String(), sameZone)
	}
	s.mu.Lock()
	since, isEmpty := s.emptySince[id.Zone]
	s.mu.Unlock()
	if !isEmpty || time.Since(since) < s.timing.AdoptionDelay {
		return ""
	}
	return ident.Rendezvous(id.String(), all)
}

// Locate returns the box that serves the slot, and whether it is this one. It fails with
// owner_unavailable if no box serves the slot now.
func (s *Slots) Locate(id ident.Slot) (types.Member, bool, error) {
	if s.Owns(id) {
		return s.self, true, nil
	}
	if owner, _, ok := s.view.Owner(id.String()); ok && owner.Name != s.self.Name {
		return owner, false, nil
	}
	live := s.view.Live()
	s.updateEmptyZones(live)
	name := s.preferredBox(id, live)
	if name == s.self.Name {
		return s.self, true, nil
	}
	for _, m := range live {
		if m.Name == name {
			return m, false, nil
		}
	}
	return types.Member{}, false, fault.Refuse(fault.OwnerUnavailable, "no box serves the slot now").WithRetryAfter(time.Second)
}

// Live reports whether a box is live in this box's view.
func (s *Slots) Live(box string) bool {
	return slices.ContainsFunc(s.view.Live(), func(m types.Member) bool { return m.Name == box })
}

// Owns reports whether this box owns the slot, as far as it knows.
func (s *Slots) Owns(id ident.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[id]
	return ok && o.epoch.Load() > 0
}

// Owned returns the slots that this box owns and their epochs.
func (s *Slots) Owned() map[ident.Slot]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	epochs := map[ident.Slot]int64{}
	for id, o := range s.owners {
		if epoch := o.epoch.Load(); epoch > 0 {
			epochs[id] = epoch
		}
	}
	return epochs
}

// Describe fills in the status of a slot that this box owns. It leaves status unchanged on an
// error.
func (s *Slots) Describe(ctx context.Context, id ident.Slot, status *types.SlotStatus) {
	_, err := s.Do(ctx, id, desk.Finish, func(_ time.Time, state *desk.OwnerState) ([]types.Record, error) {
		state.FillStatus(status)
		return nil, nil
	})
	if err != nil {
		s.logger.Debug("slots: cannot describe slot", "slot", id.String(), "error", err)
	}
}

// PickOwned selects one of the slots that this box owns for a new program, by rendezvous hashing
// of the seed. It returns false if this box owns none.
func (s *Slots) PickOwned(seed string) (ident.Slot, bool) {
	var names []string
	for id := range s.Owned() {
		names = append(names, id.String())
	}
	if len(names) == 0 {
		return ident.Slot{}, false
	}
	id, err := ident.ParseSlot(ident.Rendezvous(seed, names))
	return id, err == nil
}

// Do runs op on the slot's state if this box owns the slot. It claims the slot first if no
// live box owns it and this box is its preferred one.
func (s *Slots) Do(ctx context.Context, id ident.Slot, mode desk.Mode, op desk.Op) (*desk.Ticket, error) {
	return s.owner(id).do(ctx, mode, op)
}

func (s *Slots) owner(id ident.Slot) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[id]
	if !ok {
		o = newOwner(s, id)
		s.owners[id] = o
		s.goroutines.Go(o.run)
	}
	return o
}

// mayClaim reports whether this box may claim the slot to serve an operation.
func (s *Slots) mayClaim(id ident.Slot) bool {
	if s.isLeaving() || !s.view.Settled() {
		return false
	}
	if _, _, ok := s.view.Owner(id.String()); ok {
		return false
	}
	return s.preferredBox(id, s.view.Live()) == s.self.Name
}

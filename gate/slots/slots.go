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

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error)
}

// View is what this box believes of the others.
type View interface {
	// Settled reports whether the view has been heard out long enough to claim by it.
	Settled() bool
	// Live lists the boxes that answer, this one included.
	Live() []types.Member
	// Owner is the live box that says it owns the slot, with the highest epoch.
	Owner(slot string) (types.Member, int64, bool)
	// Announce adds to what this box says in its heartbeats.
	Announce(fill func(beat *wire.BeatRequest))
}

// Settings are the configured parts of ownership.
type Settings interface {
	// Slots lists all slots of the configuration, or none while there is none.
	Slots() []ident.Slot
	// KeyRetention is how long idempotency keys are kept.
	KeyRetention() time.Duration
}

// Watcher learns of programs that ended without their caller, and of slots taken over.
type Watcher interface {
	Ended(slot ident.Slot, programs []string)
	Claimed(slot ident.Slot)
}

// Timing holds the intervals of ownership.
type Timing struct {
	// CheckInterval is how often ownership is looked at.
	CheckInterval time.Duration
	// FlushDelay is how long a record that nobody waits for may wait for company.
	FlushDelay time.Duration
	// AdoptionDelay is how long a zone must be without boxes before another zone takes its slots.
	AdoptionDelay time.Duration
	// Retention is how long the log keeps entries; 0 is for ever.
	Retention time.Duration
	// AppendRate bounds this box's appends a second; 0 is without bound.
	AppendRate float64
	// MaxQueued bounds the records waiting for one slot's stream.
	MaxQueued int
}

// Slots is the service.
type Slots struct {
	self     types.Member
	inc      string
	log      Log
	view     View
	settings Settings
	timing   Timing
	logger   *slog.Logger
	pace     *rate.Limiter
	counts   Counts

	mu       sync.Mutex
	watchers []Watcher
	owners   map[ident.Slot]*owner
	// emptySince is when a zone was first seen without live boxes.
	emptySince map[string]time.Time
	leaving    bool
	ctx        context.Context
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// Counts receives figures about ownership.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
}

// New makes the service; self must hold the name, zone and peer address of the box.
func New(self types.Member, inc string, log Log, view View, settings Settings, timing Timing, counts Counts, logger *slog.Logger) *Slots {
	limit := rate.Inf
	if timing.AppendRate > 0 {
		limit = rate.Limit(timing.AppendRate)
	}
	return &Slots{
		self: self, inc: inc, log: log, view: view, settings: settings, timing: timing, counts: counts, logger: logger,
		pace:   rate.NewLimiter(limit, max(1, int(timing.AppendRate))),
		owners: map[ident.Slot]*owner{}, emptySince: map[string]time.Time{},
	}
}

// Watch adds a watcher. It must come before Start.
func (s *Slots) Watch(w Watcher) {
	s.watchers = append(s.watchers, w)
}

// Start begins to claim the slots that prefer this box.
func (s *Slots) Start(context.Context) error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.Announce(s.announce)
	s.done.Go(s.run)
	return nil
}

// Release gives all slots up in order: calls that may not be repeated end first, turns
// get a short grace, and what runs on after it travels in continuations.
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

// Stop ends the service at once; slots that were not released are found ownerless.
func (s *Slots) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

func (s *Slots) announce(beat *wire.BeatRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.owners {
		if epoch := o.epoch.Load(); epoch > 0 {
			beat.Owned = append(beat.Owned, &wire.Owned{Slot: id.String(), Epoch: epoch})
		}
	}
}

func (s *Slots) run() {
	tick := time.NewTicker(s.timing.CheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			s.look()
		}
	}
}

// look claims slots that prefer this box and have no live owner, and gives up those that
// a live box holds under a higher epoch.
func (s *Slots) look() {
	live := s.view.Live()
	s.noteEmpty(live)
	held := s.Owned()
	idle := !s.view.Settled() || s.isLeaving()
	for _, id := range s.settings.Slots() {
		holder, epoch, ok := s.view.Owner(id.String())
		mine := held[id]
		if ok && mine > 0 && epoch > mine && holder.Name != s.self.Name {
			s.owner(id).send(lostMsg{epoch: mine})
		}
		if ok || mine > 0 || idle {
			continue
		}
		if s.preferred(id, live) == s.self.Name {
			s.owner(id).send(claimMsg{})
		}
	}
}

func (s *Slots) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Slots) noteEmpty(live []types.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, m := range live {
		seen[m.Zone] = true
	}
	for _, id := range s.settings.Slots() {
		if seen[id.Zone] {
			delete(s.emptySince, id.Zone)
			continue
		}
		if _, ok := s.emptySince[id.Zone]; !ok {
			s.emptySince[id.Zone] = time.Now()
		}
	}
}

// preferred is the rendezvous winner among live boxes of the slot's zone, or among all
// once that zone has been empty long enough; "" if there is none yet.
func (s *Slots) preferred(id ident.Slot, live []types.Member) string {
	var home, all []string
	for _, m := range live {
		if m.Leaving {
			continue
		}
		all = append(all, m.Name)
		if m.Zone == id.Zone {
			home = append(home, m.Name)
		}
	}
	if len(home) > 0 {
		return ident.Rendezvous(id.String(), home)
	}
	s.mu.Lock()
	since, empty := s.emptySince[id.Zone]
	s.mu.Unlock()
	if !empty || time.Since(since) < s.timing.AdoptionDelay {
		return ""
	}
	return ident.Rendezvous(id.String(), all)
}

// Locate says which box serves the slot: this one (true) or another.
func (s *Slots) Locate(id ident.Slot) (types.Member, bool, error) {
	if s.Owns(id) {
		return s.self, true, nil
	}
	if holder, _, ok := s.view.Owner(id.String()); ok && holder.Name != s.self.Name {
		return holder, false, nil
	}
	live := s.view.Live()
	s.noteEmpty(live)
	name := s.preferred(id, live)
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

// Live reports whether a box answers heartbeats, as far as this one knows.
func (s *Slots) Live(box string) bool {
	return slices.ContainsFunc(s.view.Live(), func(m types.Member) bool { return m.Name == box })
}

// Owns reports whether this box holds the slot as far as it knows.
func (s *Slots) Owns(id ident.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[id]
	return ok && o.epoch.Load() > 0
}

// Owned lists the slots that this box holds, and their epochs.
func (s *Slots) Owned() map[ident.Slot]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[ident.Slot]int64{}
	for id, o := range s.owners {
		if epoch := o.epoch.Load(); epoch > 0 {
			out[id] = epoch
		}
	}
	return out
}

// Describe fills in the state of a held slot.
func (s *Slots) Describe(ctx context.Context, id ident.Slot, st *types.SlotStatus) {
	_, err := s.Do(ctx, id, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		d.Describe(st)
		return nil, nil
	})
	if err != nil {
		s.logger.Debug("slots: slot was not described", "slot", id.String(), "error", err)
	}
}

// Pick chooses a held slot for a new program: one of this zone first, at random by seed.
func (s *Slots) Pick(seed string) (ident.Slot, bool) {
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

// Do runs op on the slot if this box owns it, claiming it first if nobody else seems to.
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
		s.done.Go(o.run)
	}
	return o
}

// mayClaim reports whether a call may claim the slot on the spot.
func (s *Slots) mayClaim(id ident.Slot) bool {
	if s.isLeaving() || !s.view.Settled() {
		return false
	}
	if _, _, ok := s.view.Owner(id.String()); ok {
		return false
	}
	return s.preferred(id, s.view.Live()) == s.self.Name
}

package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/base/wire"
)

// Lister reads the platform's list.
type Lister interface {
	List(ctx context.Context) (types.PlatformList, error)
}

// Beater sends a heartbeat to a box.
type Beater interface {
	Beat(ctx context.Context, addr netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error)
}

// Timing holds the intervals of membership.
type Timing struct {
	// Beat is the interval of heartbeats; a box is suspected after Suspect without one.
	Beat    time.Duration
	Suspect time.Duration
	// List is the interval of reading the platform's list.
	List time.Duration
	// Fanout bounds how many boxes of the own zone and, apart from them, of other zones
	// get heartbeats. Zones with no more boxes than that hear from all.
	Fanout int
}

// box is what is known of another box.
type box struct {
	member types.Member
	// heard is when it last answered or called; zero if never.
	heard time.Time
	// listed is when it first was on the platform's list.
	listed time.Time
	inc    string
	owned  map[string]int64
	beat   *wire.BeatRequest
	// chosen says that this box sends it heartbeats, and so can tell when it is silent.
	chosen bool
}

// View is the service.
type View struct {
	inc    string
	lister Lister
	beater Beater
	timing Timing
	logger *slog.Logger

	mu      sync.Mutex
	self    types.Member
	boxes   map[string]*box
	list    types.PlatformList
	fills   []func(*wire.BeatRequest)
	heard   []func(*wire.BeatRequest)
	lists   []func(types.PlatformList)
	rounds  int
	listed  bool
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// New makes the service for the box self with incarnation inc.
func New(self types.Member, inc string, lister Lister, beater Beater, timing Timing, logger *slog.Logger) *View {
	return &View{self: self, inc: inc, lister: lister, beater: beater, timing: timing, logger: logger, boxes: map[string]*box{}}
}

// Start begins heartbeats.
func (v *View) Start(context.Context) error {
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.started = time.Now()
	v.done.Go(func() { v.every(v.timing.List, v.readList) })
	v.done.Go(func() { v.every(v.timing.Beat, v.round) })
	return nil
}

// Stop ends heartbeats.
func (v *View) Stop(context.Context) error {
	v.stop()
	v.done.Wait()
	return nil
}

// Leave says in all further heartbeats that this box leaves, and sends one round now.
func (v *View) Leave() {
	v.mu.Lock()
	v.self.Leaving = true
	v.mu.Unlock()
	v.round()
}

// Announce adds to what this box says in its heartbeats.
func (v *View) Announce(fill func(*wire.BeatRequest)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fills = append(v.fills, fill)
}

// Listen is told of every heartbeat that another box sent or answered.
func (v *View) Listen(hear func(*wire.BeatRequest)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard = append(v.heard, hear)
}

// OnList is told of every list that was read.
func (v *View) OnList(take func(types.PlatformList)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lists = append(v.lists, take)
}

func (v *View) every(interval time.Duration, do func()) {
	do()
	for {
		jitter := time.Duration(rand.Int64N(int64(interval)/5 + 1))
		select {
		case <-v.ctx.Done():
			return
		case <-time.After(interval - interval/10 + jitter):
			do()
		}
	}
}

func (v *View) readList() {
	ctx, stop := context.WithTimeout(v.ctx, v.timing.Suspect)
	defer stop()
	list, err := v.lister.List(ctx)
	if err != nil {
		v.logger.Debug("member: list is away", "error", err)
		return
	}
	v.mu.Lock()
	v.listed = true
	v.take(list)
	takers := v.lists
	v.mu.Unlock()
	for _, take := range takers {
		take(list)
	}
}

func (v *View) take(list types.PlatformList) {
	v.list = list
	now := time.Now()
	listed := map[string]bool{}
	for _, m := range list.Boxes {
		listed[m.Name] = true
		if m.Name == v.self.Name {
			v.self.Leaving = v.self.Leaving || m.Leaving
			continue
		}
		b, ok := v.boxes[m.Name]
		if !ok {
			b = &box{listed: now}
			v.boxes[m.Name] = b
		}
		leaving := m.Leaving || (b.member.Leaving && b.member.Peer == m.Peer)
		b.member = m
		b.member.Leaving = leaving
	}
	for name, b := range v.boxes {
		if !listed[name] && now.Sub(b.heard) > v.timing.Suspect {
			delete(v.boxes, name)
		}
	}
}

// round sends heartbeats to the chosen boxes at the same time.
func (v *View) round() {
	beat := v.beat()
	var group sync.WaitGroup
	for _, m := range v.chosen() {
		group.Go(func() { v.exchange(m, beat) })
	}
	group.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rounds++
}

func (v *View) beat() *wire.BeatRequest {
	v.mu.Lock()
	beat := &wire.BeatRequest{
		Box: v.self.Name, Incarnation: v.inc, Zone: v.self.Zone, Addr: v.self.Peer.String(), Leaving: v.self.Leaving,
	}
	fills := v.fills
	v.mu.Unlock()
	for _, fill := range fills {
		fill(beat)
	}
	return beat
}

// chosen are the boxes that get heartbeats: a rendezvous choice of the own zone and one
// of the others, so that a node's cost does not grow with the fleet.
func (v *View) chosen() []types.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var home, away []types.Member
	for _, b := range v.boxes {
		if b.member.Zone == v.self.Zone {
			home = append(home, b.member)
			continue
		}
		away = append(away, b.member)
	}
	out := append(v.closest(home), v.closest(away)...)
	for _, b := range v.boxes {
		b.chosen = slices.ContainsFunc(out, func(m types.Member) bool { return m.Name == b.member.Name })
	}
	return out
}

func (v *View) closest(members []types.Member) []types.Member {
	if len(members) <= v.timing.Fanout {
		return members
	}
	var near []types.Member
	for _, i := range ident.RendezvousTop(v.self.Name, len(members), func(i int) string { return members[i].Name }, v.timing.Fanout) {
		near = append(near, members[i])
	}
	return near
}

func (v *View) exchange(m types.Member, beat *wire.BeatRequest) {
	ctx, stop := context.WithTimeout(v.ctx, v.timing.Suspect/2)
	defer stop()
	reply, err := v.beater.Beat(ctx, m.Peer, beat)
	if err != nil || reply.GetSelf() == nil {
		return
	}
	v.Hear(reply.GetSelf())
}

// Hear takes a heartbeat of another box.
func (v *View) Hear(beat *wire.BeatRequest) {
	addr, err := netip.ParseAddrPort(beat.GetAddr())
	if err != nil || beat.GetBox() == v.self.Name {
		return
	}
	v.mu.Lock()
	b, ok := v.boxes[beat.GetBox()]
	if !ok {
		b = &box{}
		v.boxes[beat.GetBox()] = b
	}
	// The list's address goes before the box's own word: it is the way that leads there.
	if !b.listed.IsZero() {
		addr = b.member.Peer
	}
	b.member = types.Member{Name: beat.GetBox(), Zone: beat.GetZone(), Peer: addr, Leaving: beat.GetLeaving()}
	b.heard = time.Now()
	b.inc = beat.GetIncarnation()
	b.beat = beat
	b.owned = map[string]int64{}
	for _, o := range beat.GetOwned() {
		b.owned[o.GetSlot()] = o.GetEpoch()
	}
	hear := v.heard
	v.mu.Unlock()
	for _, h := range hear {
		h(beat)
	}
}

// Beat answers another box's heartbeat.
func (v *View) Beat(_ context.Context, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	v.Hear(beat)
	return &wire.BeatReply{Self: v.beat()}, nil
}

// Settled reports whether the list was read, and heartbeats have gone round and been
// answered or given up.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.rounds >= 2 && time.Since(v.started) >= v.timing.Suspect
}

// live reports whether a box answered lately. A box on the list that had no time yet to
// answer gets the benefit of the doubt; one that this box exchanges no heartbeats with is
// as live as the list says.
func (v *View) live(b *box, now time.Time) bool {
	if !b.heard.IsZero() {
		return now.Sub(b.heard) < v.timing.Suspect
	}
	if !b.chosen {
		return !b.listed.IsZero()
	}
	return now.Sub(b.listed) < v.timing.Suspect
}

// Live lists the boxes that answer, this one included.
func (v *View) Live() []types.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	out := []types.Member{v.self}
	for _, b := range v.boxes {
		if v.live(b, now) {
			out = append(out, b.member)
		}
	}
	return out
}

// All lists every box known, live or not, and when it was last heard.
func (v *View) All() map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Time{v.self.Name: time.Now()}
	for name, b := range v.boxes {
		out[name] = b.heard
	}
	return out
}

// Address is where a box is reached.
func (v *View) Address(name string) (netip.AddrPort, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.boxes[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return b.member.Peer, true
}

// Owner is the live box that says it owns the slot, with the highest epoch.
func (v *View) Owner(slot string) (types.Member, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	var best types.Member
	epoch := int64(0)
	for _, b := range v.boxes {
		if e := b.owned[slot]; e > epoch && !b.heard.IsZero() && v.live(b, now) {
			best, epoch = b.member, e
		}
	}
	return best, epoch, epoch > 0
}

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

// HeartbeatSender sends a heartbeat to a box.
type HeartbeatSender interface {
	Beat(ctx context.Context, addr netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error)
}

// Timing holds the intervals of membership.
type Timing struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// SuspectTimeout is how long a box may be silent before it no longer counts as live.
	SuspectTimeout time.Duration
	// ListInterval is the interval between reads of the platform's list.
	ListInterval time.Duration
	// Fanout is the maximum number of boxes in this box's zone that it sends heartbeats to,
	// and also the maximum for the boxes of all other zones together.
	Fanout int
}

// box is the state that View keeps for another box.
type box struct {
	member types.Member
	// lastSeen is the time of its last heartbeat or reply; zero if none has arrived.
	lastSeen time.Time
	// listedAt is when it was added from the platform's list; zero if a heartbeat added it.
	listedAt    time.Time
	incarnation string
	// owned maps each slot that it says it owns to the slot's epoch.
	owned    map[string]int64
	lastBeat *wire.BeatRequest
	// monitored is true if this box sends it heartbeats, so that its silence is meaningful.
	monitored bool
}

// View keeps the state of all other boxes, from the platform's list and from heartbeats.
type View struct {
	incarnation string
	lister      Lister
	sender      HeartbeatSender
	timing      Timing
	logger      *slog.Logger

	mu    sync.Mutex
	self  types.Member
	boxes map[string]*box
	list  types.PlatformList
	// beatFillers add the data of other services to each heartbeat that this box sends.
	beatFillers []func(*wire.BeatRequest)
	onHeartbeat []func(*wire.BeatRequest)
	onList      []func(types.PlatformList)
	// rounds counts the completed rounds of heartbeats.
	rounds   int
	listRead bool
	started  time.Time
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a View for the box self with incarnation inc.
func New(self types.Member, incarnation string, lister Lister, sender HeartbeatSender, timing Timing, logger *slog.Logger) *View {
	return &View{self: self, incarnation: incarnation, lister: lister, sender: sender, timing: timing, logger: logger, boxes: map[string]*box{}}
}

// Start starts reading the platform's list and sending heartbeats.
func (v *View) Start(context.Context) error {
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.started = time.Now()
	v.wg.Go(func() { v.runEvery(v.timing.ListInterval, v.readList) })
	v.wg.Go(func() { v.runEvery(v.timing.HeartbeatInterval, v.heartbeatRound) })
	return nil
}

// Stop stops both loops and waits until they have returned.
func (v *View) Stop(context.Context) error {
	v.stop()
	v.wg.Wait()
	return nil
}

// AnnounceLeave marks this box as leaving in all further heartbeats and sends a round of them at once.
func (v *View) AnnounceLeave() {
	v.mu.Lock()
	v.self.Leaving = true
	v.mu.Unlock()
	v.heartbeatRound()
}

// AddToHeartbeat registers a function that fills in its part of each heartbeat that this box sends.
func (v *View) AddToHeartbeat(fill func(*wire.BeatRequest)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beatFillers = append(v.beatFillers, fill)
}

// OnHeartbeat registers a callback for each heartbeat that another box sends or returns as a reply.
func (v *View) OnHeartbeat(callback func(*wire.BeatRequest)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onHeartbeat = append(v.onHeartbeat, callback)
}

// OnList registers a callback for each list that is read from the platform.
func (v *View) OnList(callback func(types.PlatformList)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onList = append(v.onList, callback)
}

// runEvery calls do at once and then once per interval, varied by up to a tenth, until Stop.
func (v *View) runEvery(interval time.Duration, do func()) {
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
	ctx, stop := context.WithTimeout(v.ctx, v.timing.SuspectTimeout)
	defer stop()
	list, err := v.lister.List(ctx)
	if err != nil {
		v.logger.Debug("member: cannot read the platform's list", "error", err)
		return
	}
	v.mu.Lock()
	v.listRead = true
	v.applyList(list)
	callbacks := v.onList
	v.mu.Unlock()
	for _, callback := range callbacks {
		callback(list)
	}
}

// applyList updates the boxes from the list. It removes unlisted boxes that are silent for
// longer than Timing.SuspectTimeout. The caller must hold v.mu.
func (v *View) applyList(list types.PlatformList) {
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
			b = &box{listedAt: now}
			v.boxes[m.Name] = b
		}
		leaving := m.Leaving || (b.member.Leaving && b.member.Peer == m.Peer)
		b.member = m
		b.member.Leaving = leaving
	}
	for name, b := range v.boxes {
		if !listed[name] && now.Sub(b.lastSeen) > v.timing.SuspectTimeout {
			delete(v.boxes, name)
		}
	}
}

// heartbeatRound sends heartbeats to the selected boxes concurrently and waits for the replies.
func (v *View) heartbeatRound() {
	beat := v.buildHeartbeat()
	var group sync.WaitGroup
	for _, m := range v.choosePeers() {
		group.Go(func() { v.exchange(m, beat) })
	}
	group.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rounds++
}

// buildHeartbeat returns this box's heartbeat. It calls the fillers without holding v.mu.
func (v *View) buildHeartbeat() *wire.BeatRequest {
	v.mu.Lock()
	beat := &wire.BeatRequest{
		Box: v.self.Name, Incarnation: v.incarnation, Zone: v.self.Zone, Addr: v.self.Peer.String(), Leaving: v.self.Leaving,
	}
	fillers := v.beatFillers
	v.mu.Unlock()
	for _, fill := range fillers {
		fill(beat)
	}
	return beat
}

// choosePeers returns the boxes that get heartbeats: up to Timing.Fanout of this box's zone
// and as many of other zones, selected by rendezvous hashing. The bound keeps the cost of
// heartbeats for each box independent of the size of the fleet.
func (v *View) choosePeers() []types.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sameZone, otherZones []types.Member
	for _, b := range v.boxes {
		if b.member.Zone == v.self.Zone {
			sameZone = append(sameZone, b.member)
			continue
		}
		otherZones = append(otherZones, b.member)
	}
	out := append(v.closest(sameZone), v.closest(otherZones)...)
	for _, b := range v.boxes {
		b.monitored = slices.ContainsFunc(out, func(m types.Member) bool { return m.Name == b.member.Name })
	}
	return out
}

// closest returns up to Timing.Fanout members, selected by rendezvous hashing.
func (v *View) closest(members []types.Member) []types.Member {
	if len(members) <= v.timing.Fanout {
		return members
	}
	var chosen []types.Member
	for _, i := range ident.RendezvousTop(v.self.Name, len(members), func(i int) string { return members[i].Name }, v.timing.Fanout) {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// exchange sends a heartbeat to m and records the heartbeat in the reply. Errors are ignored:
// a box that does not answer stops being live after Timing.SuspectTimeout.
func (v *View) exchange(m types.Member, beat *wire.BeatRequest) {
	ctx, stop := context.WithTimeout(v.ctx, v.timing.SuspectTimeout/2)
	defer stop()
	reply, err := v.sender.Beat(ctx, m.Peer, beat)
	if err != nil || reply.GetSelf() == nil {
		return
	}
	v.RecordHeartbeat(reply.GetSelf())
}

// RecordHeartbeat records a heartbeat of another box and then calls the callbacks of OnHeartbeat.
func (v *View) RecordHeartbeat(beat *wire.BeatRequest) {
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
	// The address on the platform's list takes precedence over the one that the box reports,
	// because the former is known to be reachable from other boxes.
	if !b.listedAt.IsZero() {
		addr = b.member.Peer
	}
	b.member = types.Member{Name: beat.GetBox(), Zone: beat.GetZone(), Peer: addr, Leaving: beat.GetLeaving()}
	b.lastSeen = time.Now()
	b.incarnation = beat.GetIncarnation()
	b.lastBeat = beat
	b.owned = map[string]int64{}
	for _, o := range beat.GetOwned() {
		b.owned[o.GetSlot()] = o.GetEpoch()
	}
	callbacks := v.onHeartbeat
	v.mu.Unlock()
	for _, callback := range callbacks {
		callback(beat)
	}
}

// Beat records another box's heartbeat and returns this box's own.
func (v *View) Beat(_ context.Context, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	v.RecordHeartbeat(beat)
	return &wire.BeatReply{Self: v.buildHeartbeat()}, nil
}

// Settled reports whether the list was read, at least two rounds of heartbeats are complete
// and Timing.SuspectTimeout has passed since the start.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listRead && v.rounds >= 2 && time.Since(v.started) >= v.timing.SuspectTimeout
}

// isLive reports whether a heartbeat of the box arrived within Timing.SuspectTimeout. Before the
// first heartbeat, a listed box is live for Timing.SuspectTimeout after it was added, or without
// limit if this box sends it no heartbeats. The caller must hold v.mu.
func (v *View) isLive(b *box, now time.Time) bool {
	if !b.lastSeen.IsZero() {
		return now.Sub(b.lastSeen) < v.timing.SuspectTimeout
	}
	if !b.monitored {
		return !b.listedAt.IsZero()
	}
	return now.Sub(b.listedAt) < v.timing.SuspectTimeout
}

// Live returns the live boxes, this one included.
func (v *View) Live() []types.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	out := []types.Member{v.self}
	for _, b := range v.boxes {
		if v.isLive(b, now) {
			out = append(out, b.member)
		}
	}
	return out
}

// LastSeen returns when the last heartbeat of each known box arrived, live or not. The time is
// zero for a box that sent none, and now for this box.
func (v *View) LastSeen() map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Time{v.self.Name: time.Now()}
	for name, b := range v.boxes {
		out[name] = b.lastSeen
	}
	return out
}

// Address returns the address at which other boxes reach the box, or false if it is unknown.
func (v *View) Address(name string) (netip.AddrPort, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.boxes[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return b.member.Peer, true
}

// Owner returns the live box, other than this one, that reports owning the slot with the
// highest epoch, and that epoch. It returns false if there is none.
func (v *View) Owner(slot string) (types.Member, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	var best types.Member
	epoch := int64(0)
	for _, b := range v.boxes {
		if e := b.owned[slot]; e > epoch && !b.lastSeen.IsZero() && v.isLive(b, now) {
			best, epoch = b.member, e
		}
	}
	return best, epoch, epoch > 0
}

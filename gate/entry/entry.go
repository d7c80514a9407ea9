package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

const (
	// ownerTries bounds how often the owners of a slot are looked up for one call, and
	// ownerPause is the time between. A refusal that comes later than a quarter of the time in
	// which callers want an answer helps nobody; a hand-over is done within it.
	ownerTries = 2
	ownerPause = 30 * time.Millisecond
	// ownerRanks is how many boxes are asked in one look: the one that should own the slot,
	// and those that would without it. While a box joins, the next of them holds the slot still;
	// of an availability zone that comes back, three boxes may join at once.
	ownerRanks = 4
	// retryUnknown is the advice given while the owner of a program can't be asked and it is
	// not known for how long; it bounds the advice where that is known.
	retryUnknown = 1200 * time.Millisecond
	// findWait bounds the question to all boxes for a turn: a round trip between availability
	// zones, and the log's word where an owner needs it.
	findWait = 600 * time.Millisecond
)

// Feed knows the configuration.
type Feed interface {
	Known() access.Known
}

// Boxes tells who should own a slot.
type Boxes interface {
	Owner(slot string) (work.Box, bool)
	// Owners returns the box that should own a slot and, in order, those that should if the
	// ones before were gone: n at most.
	Owners(slot string, n int) []work.Box
	// Unreached notes that a box could not be reached.
	Unreached(box work.Box)
	// TakeoverIn is how long it takes until a slot of the box is likely to have another owner.
	TakeoverIn(box work.Box) time.Duration
	// JustUnreached reports that a box could not be reached a moment ago.
	JustUnreached(box work.Box) bool
}

// Reach knows whether this box is cut off from the others and from the log.
type Reach interface {
	CutOff() bool
	// Elsewhere is when a caller that comes again is likely to meet a box that is not.
	Elsewhere() time.Duration
}

// Slots holds the slots of this box.
type Slots interface {
	Get(ctx context.Context, number int) (*shard.Slot, error)
	// Holds reports whether this box holds the slot now.
	Holds(number int) bool
	// All returns the slots held.
	All() []*shard.Slot
}

// Runner runs turns on slots of this box.
type Runner interface {
	Run(ctx context.Context, slot *shard.Slot, call *work.Call, route *work.Route, out work.Answer) error
}

// Peers forwards turns to other boxes.
type Peers interface {
	Turn(ctx context.Context, box work.Box, slot int, call *work.Call, route *work.Route, out work.Answer) error
	// Find asks a box for a turn in any of its slots; see Entry.Find.
	Find(ctx context.Context, box work.Box, turn string, home int) (text []byte, slots []int, err error)
}

// Quotas bounds what workspaces may call.
type Quotas interface {
	// Take counts a call of the workspace, one with which a program may begin or another. Its fault says that the
	// call has not run, and when to come again.
	Take(ctx context.Context, space work.Workspace, begins bool) (quota.Pass, error)
}

// Relay carries calls outside programs, and the tools of programs.
type Relay interface {
	Carry(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error
}

// Counts takes figures.
type Counts interface {
	Count(name string, n int64)
}

// Entry is the service.
type Entry struct {
	self   work.Box
	layout shard.Layout
	// regions tells the region of each availability zone.
	regions work.Regions
	feed    Feed
	rules   access.Rules
	quotas  Quotas
	boxes   Boxes
	reach   Reach
	slots   Slots
	runner  Runner
	peers   Peers
	relay   Relay
	counts  Counts
	log     *slog.Logger
}

// New makes an entry.
func New(self work.Box, layout shard.Layout, regions work.Regions, feed Feed, rules access.Rules, quotas Quotas, boxes Boxes, reach Reach, slots Slots, runner Runner,
	peers Peers, relay Relay, counts Counts, log *slog.Logger) *Entry {
	return &Entry{
		self: self, layout: layout, regions: regions, feed: feed, rules: rules, quotas: quotas, boxes: boxes, reach: reach, slots: slots, runner: runner,
		peers: peers, relay: relay, counts: counts, log: log,
	}
}

// Handle serves one call. Left is how long the caller waits; zero if it does not say. It
// returns nil after a whole answer. A fault with NotRun means that no replica has run the
// call or ever will; after any other fault one may have.
func (e *Entry) Handle(ctx context.Context, call *work.Call, left time.Duration, out work.Answer) error {
	known := e.feed.Known()
	path, _, _ := strings.Cut(call.Target, "?")
	route, err := e.rules.Route(known, call, path)
	if err != nil {
		e.log.Info("entry: no route", "id", call.ID, "known", known.Config != nil, "cause", err)
		return err
	}
	space, err := e.rules.Caller(known, call, route)
	if err != nil {
		e.counts.Count("entry.caller_refused", 1)
		if fault.Is(err, fault.StaleConfig) && e.reach.CutOff() {
			err = fault.From(err).After(e.reach.Elsewhere()) // other boxes may know
		}
		e.log.Info("entry: caller refused", "id", call.ID, "route", route.Name, "version", known.Config.Version,
			"proven", call.Arrived.Sub(known.Proven), "cause", err)
		return err
	}
	call.Workspace = space.Name
	if call.Regions, err = e.regionsOf(call, route, space); err != nil {
		return err
	}
	if left <= 0 || left > route.Timeout {
		left = route.Timeout
	}
	call.Deadline = call.Arrived.Add(left)
	call.Priority = urgency(call, space, route)
	return e.counted(ctx, space, call, route, out)
}

// regionsOf returns the regions in which the call may be served; both its route and its workspace bind.
func (e *Entry) regionsOf(call *work.Call, route *work.Route, space work.Workspace) ([]string, error) {
	regions, ok := work.BothRegions(route.Regions, space.Regions)
	if ok {
		return regions, nil
	}
	return nil, e.noRegion(call, route, "", "the route and the workspace allow no region in common")
}

// noRegion refuses a call that may be served nowhere. Owner names the box that may not have it, if there is one.
func (e *Entry) noRegion(call *work.Call, route *work.Route, owner, detail string) error {
	e.counts.Count("entry.no_region", 1)
	e.log.Info("entry: no region is allowed", "id", call.ID, "route", route.Name, "workspace", call.Workspace, "owner", owner)
	return fault.Refuse(fault.NoTarget, detail)
}

// leaves reports that the call must not be handed to the box: it lies in another region than this one, to which the
// caller chose to send, and the call may not be there.
func (e *Entry) leaves(call *work.Call, box work.Box) bool {
	return !e.regions.Allow(call.Regions, box.Zone) && e.regions[box.Zone] != e.regions[e.self.Zone]
}

// counted runs the call within its workspace's quota. One that no replica has run does not count.
func (e *Entry) counted(ctx context.Context, space work.Workspace, call *work.Call, route *work.Route, out work.Answer) error {
	pass, err := e.quotas.Take(ctx, space, begins(call, route))
	if err != nil {
		e.counts.Count("entry.quota_refused", 1)
		e.log.Info("entry: refused by quota", "id", call.ID, "workspace", space.Name, "begins", begins(call, route), "after", time.Since(call.Arrived), "cause", err)
		return err
	}
	err = e.run(ctx, call, route, out)
	if err != nil && fault.From(err).NotRun {
		pass.Return()
	}
	return err
}

// begins reports whether the call is a turn with which a program may begin. Where turns bring their history, none
// says which is the first.
func begins(call *work.Call, route *work.Route) bool {
	return route.Stateful && call.Turn != nil && call.Turn.Previous == ""
}

func (e *Entry) run(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	if owned(call, route) {
		return e.turn(ctx, call, route, out)
	}
	return e.relay.Carry(ctx, call, route, out)
}

// owned reports whether the call is a turn that its program's owner must run: the one that keeps
// the program's history, or counts it against the program's budget.
func owned(call *work.Call, route *work.Route) bool {
	return call.Turn != nil && (route.Stateful || call.Turn.Budget >= 0)
}

const (
	// spaceStep separates workspaces, whose priorities come before those of their routes, and routeStep the
	// routes' priorities, so that a program's progress fits between.
	spaceStep = 3
	routeStep = 2
	// beginLater is how much less urgent a program's first turn is than those of programs
	// under way: under overload it is better to finish some than to delay all.
	beginLater = 3
)

// urgency is the priority of a call at replicas that serve urgent calls first; 0 is the most
// urgent.
func urgency(call *work.Call, space work.Workspace, route *work.Route) int {
	urgent := spaceStep*space.Priority + routeStep*route.Priority
	if call.Turn != nil && call.Turn.Previous == "" {
		urgent += beginLater
	}
	return urgent
}

// turn runs a turn where its program lives.
func (e *Entry) turn(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	if e.reach.CutOff() {
		e.counts.Count("entry.cut_off", 1)
		e.log.Info("entry: turn refused, this box is cut off", "id", call.ID, "program", call.Turn.Program, "route", route.Name)
		return fault.Refuse(fault.OwnerUnknown, "this box is cut off from the others").After(e.reach.Elsewhere())
	}
	home := e.layout.Home(call.Own(call.Turn.Program))
	if box, ok := e.boxes.Owner(e.layout.Name(home)); ok && e.leaves(call, box) {
		return e.noRegion(call, route, box.Name, "the owner of the program lies outside of the regions that are allowed")
	}
	err := e.runAt(ctx, home, call, route, out)
	if elsewhere(err) {
		if call.Turn.Base, err = e.find(ctx, call, home); err == nil {
			err = e.runAt(ctx, home, call, route, out)
		}
	}
	if !unreached(err) {
		return err
	}
	e.counts.Count("entry.owner_unknown", 1)
	e.log.Info("entry: owner not reached", "id", call.ID, "program", call.Turn.Program, "route", route.Name, "after", time.Since(call.Arrived), "cause", err)
	return fault.Refuse(fault.TurnUnknown, "the owner of the program can't be asked now").After(e.takeoverIn(home)).Because(err)
}

// takeoverIn is when a caller should come again whose program's owner can't be asked.
func (e *Entry) takeoverIn(slot int) time.Duration {
	box, ok := e.boxes.Owner(e.layout.Name(slot))
	if !ok {
		return retryUnknown
	}
	return min(e.boxes.TakeoverIn(box), retryUnknown)
}

// elsewhere reports that the owner does not keep the turn to go on from.
func elsewhere(err error) bool {
	return fault.Is(err, fault.NoTurn) && fault.From(err).NotRun
}

// unreached reports that nobody could be asked.
func unreached(err error) bool {
	if err == nil || !fault.From(err).NotRun {
		return false
	}
	return fault.Is(err, fault.NotOwner) || fault.Is(err, fault.PeerLost) || fault.Is(err, fault.OwnerUnknown)
}

// runAt runs the turn at whoever holds the slot.
func (e *Entry) runAt(ctx context.Context, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	var err error
	for try := range ownerTries {
		if try > 0 && !pause(ctx) {
			return err
		}
		if err = e.look(ctx, slot, call, route, out); !unreached(err) {
			return err
		}
	}
	return err
}

// look asks the boxes that may hold the slot, the likeliest first. The fault of the first one
// is returned if none does.
func (e *Entry) look(ctx context.Context, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	// A box that gives up its slots still holds them until another asks.
	if e.slots.Holds(slot) {
		if err := e.RunHere(ctx, slot, call, route, out); !unreached(err) {
			return err
		}
	}
	var first error
	for rank, box := range e.boxes.Owners(e.layout.Name(slot), ownerRanks) {
		err := e.runOn(ctx, box, rank, slot, call, route, out)
		if !unreached(err) {
			return err
		}
		if first == nil {
			first = err
		}
	}
	if first == nil {
		return fault.Refuse(fault.OwnerUnknown, "no box owns the slot")
	}
	return first
}

// runOn runs the turn on one box if that holds the slot.
func (e *Entry) runOn(ctx context.Context, box work.Box, rank, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	if box.Name == e.self.Name {
		return e.RunHere(ctx, slot, call, route, out)
	}
	if e.leaves(call, box) {
		return fault.Refuse(fault.OwnerUnknown, "the box lies outside of the regions that are allowed")
	}
	if e.boxes.JustUnreached(box) {
		return fault.Refuse(fault.PeerLost, "the owner of the slot was not reached a moment ago")
	}
	e.log.Info("entry: turn forwarded", "id", call.ID, "program", call.Turn.Program, "slot", slot, "owner", box.Name, "rank", rank)
	err := e.peers.Turn(ctx, box, slot, call, route, out)
	if fault.Is(err, fault.PeerLost) && ctx.Err() == nil {
		e.boxes.Unreached(box)
	}
	return err
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(ownerPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// RunHere runs the turn if this box owns the slot.
func (e *Entry) RunHere(ctx context.Context, number int, call *work.Call, route *work.Route, out work.Answer) error {
	slot, err := e.slots.Get(ctx, number)
	if err != nil {
		return err
	}
	return e.runner.Run(ctx, slot, call, route, out)
}

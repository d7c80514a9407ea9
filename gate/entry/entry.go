package entry

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

const (
	// retryOwnerUnknown is the Retry-After delay while the owner of a program cannot be reached and the
	// duration of a takeover is not known. It is also the longest delay if that duration is known.
	retryOwnerUnknown = 1200 * time.Millisecond
	// findTimeout bounds the search for a turn on all boxes. It allows for a round trip between availability
	// zones and for an owner that has to confirm its ownership with the log.
	findTimeout = 600 * time.Millisecond
)

// ConfigSource provides the current configuration.
type ConfigSource interface {
	Current() access.ConfigSnapshot
}

// Boxes tells which box should own a slot and which boxes are reachable.
type Boxes interface {
	// Owner returns the box that should own the slot.
	Owner(slot string) (work.Box, bool)
	// Owners returns at most n boxes: the one that should own the slot, followed by those that would own it
	// if all boxes before them were gone.
	Owners(slot string, n int) []work.Box
	// MarkUnreachable records that a box could not be reached.
	MarkUnreachable(box work.Box)
	// TakeoverIn estimates how long it takes until another box owns the slots of the given one.
	TakeoverIn(box work.Box) time.Duration
	// RecentlyUnreachable reports whether a recent attempt to reach the box failed.
	RecentlyUnreachable(box work.Box) bool
	// Confirm asks other boxes whether the given ones have failed, and returns once it is known which of
	// their slots this box may take over. It calls likely as soon as a takeover is likely but not yet confirmed.
	Confirm(ctx context.Context, boxes []work.Box, likely func())
}

// Connectivity reports whether this box is cut off from the other boxes and from the log.
type Connectivity interface {
	CutOff() bool
	// RetryDelay returns the delay after which a retry is likely to arrive at a box that is not cut off.
	RetryDelay() time.Duration
}

// Slots holds the slots of this box.
type Slots interface {
	// Get returns the slot, or a fault if this box does not own it.
	Get(ctx context.Context, number int) (*shard.Slot, error)
	// Holds reports whether this box holds the slot now.
	Holds(number int) bool
	// Prepare begins to read the slot from the log, since this box is likely to claim it soon.
	Prepare(number int)
	// KnownOwner returns the box that owns the slot as far as this one has learned lately.
	KnownOwner(number int) (work.Owner, bool)
	// LearnOwner records which other box owns the slot, and ForgetOwner that the box does not serve it.
	LearnOwner(number int, owner work.Owner)
	ForgetOwner(number int, box work.Box)
	// LookUpOwner reads from the log which box claimed the slot last.
	LookUpOwner(ctx context.Context, number int) (work.Owner, bool)
	// All returns the slots that this box holds.
	All() []*shard.Slot
}

// Runner runs turns on slots of this box.
type Runner interface {
	Run(ctx context.Context, slot *shard.Slot, call *work.Call, route *work.Route, out work.Answer) error
}

// Peers forwards turns to other boxes.
type Peers interface {
	// Turn runs a turn on the box if that box owns the slot, or can take it over from the unreached boxes.
	Turn(ctx context.Context, box work.Box, slot int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error
	// Find searches the slots of a box for a turn; see Entry.Find. home is the slot of the program that looks for it,
	// which boxes of earlier versions confirm to own in any case.
	Find(ctx context.Context, box work.Box, turn string, home int, confirm bool) (text []byte, slots []int, err error)
}

// Quotas limits the calls of workspaces.
type Quotas interface {
	// Take counts a call against the workspace's quota; begins is set if a program may start with the call.
	// Its faults have NotRun set and carry a Retry-After delay.
	Take(ctx context.Context, space work.Workspace, begins bool) (quota.Permit, error)
}

// Relay sends calls that need no program owner to replicas.
type Relay interface {
	Forward(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error
}

// Crashes tells which requests are refused since replicas have crashed under them.
type Crashes interface {
	// Check returns a fault with NotRun if the request is refused.
	Check(req work.Fingerprint) error
	// Await waits until it is known whether a replica crashed under an attempt of the request that has just ended. It
	// returns within a fraction of a second.
	Await(req work.Fingerprint)
}

// Memory tells whether the box has memory for the answers of further calls.
type Memory interface {
	// Admit returns a fault with NotRun and a Retry-After delay if a call of the given group and priority must be refused.
	Admit(group work.CallerGroup, priority int) error
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

// Entry checks incoming calls and sends them to where they run.
type Entry struct {
	self   work.Box
	layout shard.Layout
	// regions maps each availability zone to its region.
	regions      work.Regions
	feed         ConfigSource
	rules        access.Rules
	quotas       Quotas
	boxes        Boxes
	connectivity Connectivity
	slots        Slots
	runner       Runner
	peers        Peers
	relay        Relay
	crashes      Crashes
	counts       Counts
	log          *slog.Logger
	// memory is nil if calls need no such check.
	memory Memory
	drain  Drain
}

// New returns an Entry for the box self.
func New(self work.Box, layout shard.Layout, regions work.Regions, feed ConfigSource, rules access.Rules, quotas Quotas, boxes Boxes, connectivity Connectivity, slots Slots, runner Runner,
	peers Peers, relay Relay, crashes Crashes, counts Counts, log *slog.Logger) *Entry {
	return &Entry{
		self: self, layout: layout, regions: regions, feed: feed, rules: rules, quotas: quotas, boxes: boxes, connectivity: connectivity, slots: slots, runner: runner,
		peers: peers, relay: relay, crashes: crashes, counts: counts, log: log, drain: neverStops{},
	}
}

// SetMemoryCheck makes calls pass the check before they are counted against a quota. It must be called before the
// first call.
func (e *Entry) SetMemoryCheck(memory Memory) {
	e.memory = memory
}

// Handle serves one call. left is how long the caller waits, zero if it is not known. Handle returns nil
// after a complete answer. A fault with NotRun means that no replica has run the call or will; after any
// other fault, a replica may have run it.
func (e *Entry) Handle(ctx context.Context, call *work.Call, left time.Duration, out work.Answer) error {
	known := e.feed.Current()
	path, _, _ := strings.Cut(call.Target, "?")
	route, err := e.rules.Route(known, call, path)
	if err != nil {
		e.log.Info("entry: no route", "id", call.ID, "known", known.Config != nil, "cause", err)
		return err
	}
	space, err := e.rules.Caller(known, call, route)
	if err != nil {
		e.counts.Count("entry.caller_refused", 1)
		if fault.Is(err, fault.StaleConfig) && e.connectivity.CutOff() {
			err = fault.From(err).WithRetryAfter(e.connectivity.RetryDelay()) // another box may have the newest configuration
		}
		e.log.Info("entry: caller refused", "id", call.ID, "route", route.Name, "version", known.Config.Version,
			"proven", call.Arrived.Sub(known.ConfirmedAt), "cause", err)
		return err
	}
	call.Workspace, call.RouteName = space.Name, route.Name
	call.Request = work.FingerprintOf(call, route)
	if err := e.checkCrashes(call, route); err != nil {
		return err
	}
	if call.Regions, err = e.regionsOf(call, route, space); err != nil {
		return err
	}
	call.Deadline = deadline(call, route, left)
	call.Priority = replicaPriority(call, space, route)
	if err := e.checkDrain(call, route); err != nil {
		return err
	}
	if err := e.checkMemory(call, route); err != nil {
		return err
	}
	return e.runWithinQuota(ctx, space, call, route, out)
}

// checkCrashes refuses a call if replicas have crashed under earlier attempts of its request.
func (e *Entry) checkCrashes(call *work.Call, route *work.Route) error {
	err := e.crashes.Check(call.Request)
	if err != nil {
		e.log.Info("entry: refused, replicas crashed under the request", "id", call.ID, "request", call.Request, "route", route.Name, "workspace", call.Workspace)
	}
	return err
}

// checkMemory refuses a call while too many answers are unread.
func (e *Entry) checkMemory(call *work.Call, route *work.Route) error {
	if e.memory == nil {
		return nil
	}
	err := e.memory.Admit(call.CallerGroup(), call.Priority)
	if err != nil {
		e.log.Info("entry: refused, too many answers are unread", "id", call.ID, "route", route.Name, "workspace", call.Workspace, "priority", call.Priority)
	}
	return err
}

// regionsOf returns the regions in which both the route and the workspace allow the call to be served.
func (e *Entry) regionsOf(call *work.Call, route *work.Route, space work.Workspace) ([]string, error) {
	regions, ok := work.IntersectRegions(route.Regions, space.Regions)
	if ok {
		return regions, nil
	}
	return nil, e.refuseNoRegion(call, route, "", "the route and the workspace allow no region in common")
}

// refuseNoRegion returns the refusal of a call for which no region is allowed, or not the region of its
// program's owner. owner is the name of that owner; empty in the first case.
func (e *Entry) refuseNoRegion(call *work.Call, route *work.Route, owner, detail string) error {
	e.counts.Count("entry.no_region", 1)
	e.log.Info("entry: no region is allowed", "id", call.ID, "route", route.Name, "workspace", call.Workspace, "owner", owner)
	return fault.Refuse(fault.NoTarget, detail)
}

// leavesRegions reports whether sending the call to the box is forbidden: the box is in a region that the call
// does not allow, and not in the region of this box, which the caller chose by sending the call here.
func (e *Entry) leavesRegions(call *work.Call, box work.Box) bool {
	return !e.regions.Allow(call.Regions, box.Zone) && e.regions[box.Zone] != e.regions[e.self.Zone]
}

// runWithinQuota counts the call against its workspace's quota and runs it. It refunds the quota if the call
// has not run.
func (e *Entry) runWithinQuota(ctx context.Context, space work.Workspace, call *work.Call, route *work.Route, out work.Answer) error {
	permit, err := e.quotas.Take(ctx, space, mayStartProgram(call, route))
	if err != nil {
		e.counts.Count("entry.quota_refused", 1)
		e.log.Info("entry: refused by quota", "id", call.ID, "workspace", space.Name, "begins", mayStartProgram(call, route), "after", time.Since(call.Arrived), "cause", err)
		return err
	}
	err = e.run(ctx, call, route, out)
	if err != nil && fault.From(err).NotRun {
		permit.Refund()
	}
	return err
}

// mayStartProgram reports whether a program may start with the call. Turns on routes that are not stateful
// carry their own history and do not show whether they are the first.
func mayStartProgram(call *work.Call, route *work.Route) bool {
	return route.Stateful && call.Turn != nil && call.Turn.Previous == ""
}

// run runs the call on the owner of its program, or on a replica if it needs no owner.
func (e *Entry) run(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	if err := e.checkDrain(call, route); err != nil {
		return err
	}
	if needsOwner(call, route) {
		return e.turn(ctx, call, route, out)
	}
	return e.settle(call, e.relay.Forward(ctx, call, route, out))
}

// settle returns err, the result of a call that ran here. If the call may have run without an answer, it first waits until
// it is known whether its replica crashed, so that all boxes know before the caller can send the request again. At the end of
// a planned stop there is no time for that.
func (e *Entry) settle(call *work.Call, err error) error {
	if err != nil && !fault.From(err).NotRun && !e.drain.IsCut() {
		e.crashes.Await(call.Request)
	}
	return err
}

// needsOwner reports whether the call must run on the box that owns its program, since that box keeps the
// program's history or charges the call to the program's budget.
func needsOwner(call *work.Call, route *work.Route) bool {
	return call.Turn != nil && (route.Stateful || call.Turn.Budget >= 0)
}

const (
	// workspaceWeight and routeWeight are the weights of the workspace's and the route's priority.
	workspaceWeight = 3
	routeWeight     = 2
	// firstTurnPenalty makes a program's first turn less urgent than later turns, since under overload it is
	// better to finish some programs than to delay all.
	firstTurnPenalty = 3
)

// replicaPriority returns the call's priority at replicas that order their calls; 0 is the most urgent.
func replicaPriority(call *work.Call, space work.Workspace, route *work.Route) int {
	priority := workspaceWeight*space.Priority + routeWeight*route.Priority
	if call.Turn != nil && call.Turn.Previous == "" {
		priority += firstTurnPenalty
	}
	return priority
}

// turn runs a turn on the box that owns its program.
func (e *Entry) turn(ctx context.Context, call *work.Call, route *work.Route, out work.Answer) error {
	if e.connectivity.CutOff() {
		e.counts.Count("entry.cut_off", 1)
		e.log.Info("entry: turn refused, this box is cut off", "id", call.ID, "program", call.Turn.Program, "route", route.Name)
		return fault.Refuse(fault.OwnerUnavailable, "this box is cut off from the others").WithRetryAfter(e.connectivity.RetryDelay())
	}
	home := e.layout.SlotOf(call.QualifiedName(call.Turn.Program), call.Regions)
	if box, ok := e.boxes.Owner(e.layout.Name(home)); ok && e.leavesRegions(call, box) {
		return e.refuseNoRegion(call, route, box.Name, "the owner of the program is outside of the allowed regions")
	}
	err := e.runOnSlot(ctx, home, call, route, out)
	if previousNotKept(err) {
		if call.Turn.Base, err = e.findPrevious(ctx, call); err == nil {
			err = e.runOnSlot(ctx, home, call, route, out)
		}
	}
	if !ownerNotReached(err) {
		return err
	}
	e.counts.Count("entry.owner_unknown", 1)
	e.log.Info("entry: owner not reached", "id", call.ID, "program", call.Turn.Program, "route", route.Name, "after", time.Since(call.Arrived), "cause", err)
	return fault.Refuse(fault.TurnNotKnownYet, "the owner of the program cannot be reached now").WithRetryAfter(e.retryDelay(home)).WithCause(err)
}

// retryDelay returns the delay after which to retry a turn whose owner cannot be reached.
func (e *Entry) retryDelay(slot int) time.Duration {
	box, ok := e.boxes.Owner(e.layout.Name(slot))
	if !ok {
		return retryOwnerUnknown
	}
	return min(e.boxes.TakeoverIn(box), retryOwnerUnknown)
}

// previousNotKept reports whether the owner refused the turn because it does not keep the previous one.
func previousNotKept(err error) bool {
	return fault.Is(err, fault.NoTurn) && fault.From(err).NotRun
}

// ownerNotReached reports whether the turn has not run because no owner could be reached.
func ownerNotReached(err error) bool {
	if err == nil || !fault.From(err).NotRun {
		return false
	}
	return fault.Is(err, fault.NotOwner) || fault.Is(err, fault.PeerUnreachable) || fault.Is(err, fault.OwnerUnavailable)
}

// followsOnly reports whether the unreached boxes are the only ones that precede this one in the slot's ranking.
func (e *Entry) followsOnly(slot int, unreached []work.Box) bool {
	for rank, box := range e.boxes.Owners(e.layout.Name(slot), ownerCandidates) {
		if box.Name == e.self.Name {
			return rank > 0
		}
		if !slices.ContainsFunc(unreached, func(gone work.Box) bool { return gone.Name == box.Name && gone.Incarnation == box.Incarnation }) {
			return false
		}
	}
	return false
}

// RunHere runs the turn if this box owns the slot. If it does not, but other boxes confirm that the unreached ones,
// which precede it in the slot's ranking, have failed, it takes the slot over first.
func (e *Entry) RunHere(ctx context.Context, number int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error {
	if !e.slots.Holds(number) && e.followsOnly(number, unreached) {
		e.boxes.Confirm(ctx, unreached, func() { e.slots.Prepare(number) })
	}
	if call.Request == "" {
		call.Request = work.FingerprintOf(call, route) // forwarded by a box of an earlier version
	}
	if err := e.checkCrashes(call, route); err != nil {
		return err
	}
	slot, err := e.slots.Get(ctx, number)
	if err != nil {
		return err
	}
	if err := e.checkDrain(call, route); err != nil {
		return err
	}
	return e.settle(call, e.runner.Run(ctx, slot, call, route, out))
}

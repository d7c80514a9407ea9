package node

import (
	"context"
	"io"
	"log/slog"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/detour"
	"mulleingate.dev/gate/entry"
	"mulleingate.dev/gate/feed"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/load"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/relay"
	"mulleingate.dev/gate/remote"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/turns"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

const (
	// leaveFor is how long a leaving box takes new connections: a balancer that asks every
	// second and wants two answers has taken it out by then.
	leaveFor = 2600 * time.Millisecond
	// finishFor bounds the stop of all services after that. With leaveFor it stays 0.8 s below
	// the 8 s after which the platform ends a box.
	finishFor = 4600 * time.Millisecond
	// behindFront is the part of finishFor that callers' calls under way leave to the services
	// behind the front; behindShards is what of that the slots' last records leave to the
	// turns that run for other boxes: these had the front's time too, and end in order.
	behindFront  = 400 * time.Millisecond
	behindShards = 200 * time.Millisecond
)

// Replicas speaks to replicas.
type Replicas interface {
	target.Opener
	relay.Sender
	load.Reporter
}

// Deps is what a box is made from.
type Deps struct {
	Self work.Box
	// Slots is the number of slots, alike on all boxes.
	Slots int
	// RecordBytes is the longest record that the log takes.
	RecordBytes int
	Log         work.Log
	Decoder     feed.Decoder
	Replicas    Replicas
	Logger      *slog.Logger
	Meter       *meter.Meter
	Timing      view.Timing
	// Zones are all availability zones.
	Zones []string
	// Regions tells the region of each of them.
	Regions work.Regions
	Access  access.Bounds
	Quota   quota.Bounds
	Cold    sched.ColdLimits
}

// Node is a box.
type Node struct {
	deps    Deps
	layout  shard.Layout
	kern    *kernel.Kernel
	view    *view.View
	mirror  *mirror.Mirror
	feed    *feed.Feed
	shards  *shard.Manager
	entry   *entry.Entry
	peers   *remote.Client
	targets *target.Targets
	places  *places
	server  *remote.Server
	reach   *reach
	watch   *load.Watch
	counter *quota.Counter
	leaving atomic.Bool
}

// New makes a box; nothing runs yet.
func New(deps Deps) *Node {
	layout := shard.NewLayout(deps.Slots)
	n := &Node{deps: deps, layout: layout, kern: kernel.New(deps.Logger), peers: remote.NewClient()}
	log := deps.Logger
	n.targets = target.New(deps.Self.Zone, deps.Replicas, log)
	reached := detour.New(deps.Log, others{n}, log)
	n.mirror = mirror.New(deps.Self, deps.Zones, reached, boxes{n}, n.peers, deps.Decoder, log)
	n.feed = feed.New(n.mirror, deps.Decoder, n.targets, log)
	n.view = view.New(deps.Self, n.mirror, deps.Timing, log)
	n.targets.SetBounds(target.Bounds{Regions: deps.Regions, Cold: deps.Cold})
	n.targets.SetWarmingCheck(n.places.Warms)
	n.shards = shard.New(deps.Self, layout, reached, n.view, n.peers, deps.Meter, log)
	n.places = newPlaces(deps.Self, n.view, layout.Names())
	n.mirror.OnLevels(func(levels subset.Levels) {
		n.places.Draw(levels)
		n.targets.SetLevels(levels)
	})
	n.watch = load.New(deps.Self, deps.Replicas, n.targets, n.places, log)
	n.reach = newReach(deps.Self.Name, n.view, n.peers, log)
	runner := turns.New(n.targets, deps.Replicas, deps.RecordBytes, deps.Meter, log)
	carrier := relay.New(n.targets, deps.Replicas, deps.Meter, log)
	n.counter = quota.NewCounter(deps.Self, deps.Zones, deps.Quota, n.view)
	quotas := quota.New(deps.Self, deps.Zones, deps.Quota, n.view, n.counter, n.peers, deps.Meter)
	n.entry = entry.New(deps.Self, layout, deps.Regions, n.feed, access.New(deps.Access), quotas, n.view, n.reach, n.shards, runner, n.peers, carrier, deps.Meter, log)
	n.server = remote.NewServer(deps.Self.Peer, n.entry, n.shards, n.view, n.counter, n.mirror, deps.Log, log)
	n.feed.OnConfig(func(conf *work.Config) { n.counter.Update(time.Now(), conf) })
	n.view.OnChange(n.boxesChanged)
	n.targets.OnFailing(n.watch.SendFailureRate)
	return n
}

// boxes tells the mirror who lives; the view is made after it.
type boxes struct{ node *Node }

// Live implements mirror.Boxes.
func (b boxes) Live() []work.Box { return b.node.view.Live() }

// HasSettled implements mirror.Boxes.
func (b boxes) HasSettled() bool { return b.node.view.HasSettled() }

// others are the boxes by whose way the log may be called.
type others struct{ node *Node }

// Boxes implements detour.Others. What goes to the log may be bound to regions, and other regions are far.
func (o others) Boxes() []work.Box {
	regions, self := o.node.deps.Regions, o.node.deps.Self
	var boxes []work.Box
	for _, box := range o.node.view.Live() {
		if box.Name != self.Name && regions[box.Zone] == regions[self.Zone] {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// LogVia implements detour.Others.
func (o others) LogVia(box work.Box) work.Log {
	return o.node.peers.LogVia(box)
}

func (n *Node) boxesChanged() {
	live := n.view.Live()
	n.targets.SetBoxCount(len(live))
	n.places.Renew()
	n.targets.SetPlacerCount(n.places.Placers())
	n.peers.CloseAllExcept(live)
	n.counter.Update(time.Now(), n.feed.Config())
	n.shards.Rebalance()
}

// Start starts all services, last the front: it takes callers' connections from its start on,
// tells callers to leave while the box is not ready, and finishes calls under way at its stop.
func (n *Node) Start(ctx context.Context, front kernel.Service) error {
	return n.kern.Start(ctx, n.parts(front))
}

// parts are the services of a box. A stop takes them from the last to the first.
func (n *Node) parts(front kernel.Service) []kernel.Part {
	made := func(svc kernel.Service) kernel.Factory {
		return func(*kernel.Kernel) (kernel.Service, error) { return svc, nil }
	}
	return []kernel.Part{
		{Name: "meter", Make: made(n.deps.Meter)},
		{Name: "mirror", Needs: []string{"meter"}, Make: made(n.mirror)},
		{Name: "feed", Needs: []string{"meter", "mirror"}, Make: made(n.feed)},
		{Name: "view", Needs: []string{"meter"}, Make: made(n.view)},
		{Name: "load", Needs: []string{"view", "feed"}, Make: made(n.watch)},
		{Name: "quota", Needs: []string{"view", "feed"}, Make: made(n.counter)},
		{Name: "reach", Needs: []string{"view"}, Make: made(n.reach)},
		{Name: "peers", Needs: []string{"view", "feed", "quota"}, Make: made(n.server)},
		{Name: "shards", Needs: []string{"peers"}, Make: made(n.shards), Spare: behindShards},
		{Name: "front", Needs: []string{"shards"}, Make: made(front), Spare: behindFront},
	}
}

// Stop is a planned stop: the box hands its slots over and is taken out of the balancer
// while it still serves, then finishes what it has accepted.
func (n *Node) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.deps.Logger.Info("node: leaving")
	served := time.After(leaveFor) // a store that does not answer must not put the end off
	n.leave(ctx)
	select {
	case <-served:
	case <-ctx.Done():
	}
	ctx, stop := context.WithTimeout(ctx, finishFor)
	defer stop()
	err := n.kern.Stop(ctx)
	n.deps.Logger.Info("node: stopped")
	return err
}

// leave takes this box out of the fleet and tells the others, who then ask for its slots. They
// are told while the store is: a store that answers late must not put their word off, and they
// take the word before the store's list of members.
func (n *Node) leave(ctx context.Context) {
	boxes := told(n.view.Live(), n.layout.Names(), n.view.Owners)
	var all sync.WaitGroup
	all.Go(func() { n.view.Leave(ctx) })
	all.Go(func() { n.tell(ctx, boxes) })
	all.Wait()
}

// tell tells the other boxes that this one leaves.
func (n *Node) tell(ctx context.Context, boxes []work.Box) {
	ctx, stop := context.WithTimeout(ctx, reachWait)
	defer stop()
	var all sync.WaitGroup
	for _, box := range boxes {
		if box.Name == n.deps.Self.Name {
			continue
		}
		all.Go(func() {
			if err := n.peers.AnnounceLeave(ctx, box, n.deps.Self.Member()); err != nil {
				n.deps.Logger.Info("node: box not told that this one leaves", "to", box.Name, "cause", err)
			}
		})
	}
	all.Wait()
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.feed.Ready() && n.view.HasSettled() && !n.reach.CutOff()
}

// WriteMetrics writes what the box measures, in the usual text exposition format.
func (n *Node) WriteMetrics(out io.Writer) error {
	figures := n.deps.Meter
	figures.Gauge("node.slots", int64(n.shards.HeldCount()))
	figures.Gauge("node.boxes", int64(len(n.view.Live())))
	figures.Gauge("node.ready", flag(n.Ready()))
	figures.Gauge("node.source", flag(n.mirror.IsSource()))
	figures.Gauge("node.cut_off", flag(n.reach.CutOff()))
	figures.Gauge("node.log_age_ms", n.view.ReadAge().Milliseconds())
	figures.Gauge("node.memory_bytes", memory())
	figures.Gauge("node.list_age_ms", n.feed.ListAge().Milliseconds())
	figures.Gauge("node.config_age_ms", n.feed.ConfigAge().Milliseconds())
	figures.Gauge("node.configs_refused", n.feed.ConfigsRefused())
	figures.Gauge("node.entries_refused", n.feed.EntriesRefused())
	figures.Gauge("node.replicas", int64(len(n.targets.ListedIDs())))
	if conf := n.feed.Config(); conf != nil {
		figures.Gauge("node.config_version", conf.Version)
	}
	return figures.WriteText(out)
}

// memory is what the process has mapped, in bytes, without stopping it for the count.
func memory() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// Limits bound what callers may send. They are nil while no configuration is known.
func (n *Node) Limits() *work.Limits {
	conf := n.feed.Config()
	if conf == nil {
		return nil
	}
	return &conf.Limits
}

// Handle serves one call; see entry.Entry.Handle.
func (n *Node) Handle(ctx context.Context, call *work.Call, left time.Duration, out work.Answer) error {
	if n.feed.Config() != nil && !n.feed.Ready() {
		return fault.Refuse(fault.NoConfig, "the list of replicas is not known yet").WithRetryAfter(time.Second)
	}
	return n.entry.Handle(ctx, call, left, out)
}

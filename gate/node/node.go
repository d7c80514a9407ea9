package node

import (
	"context"
	"io"
	"log/slog"
	"runtime/metrics"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/serve"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/detour"
	"mulleingate.dev/gate/drain"
	"mulleingate.dev/gate/entry"
	"mulleingate.dev/gate/feed"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/load"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/relay"
	"mulleingate.dev/gate/remote"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/spool"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/turns"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// Replicas sends requests to replicas.
type Replicas interface {
	target.PoolOpener
	relay.Sender
	load.Reporter
	crash.Prober
}

// Deps holds the dependencies and settings of a box.
type Deps struct {
	Self work.Box
	// Slots is the number of slots, which must be the same on all boxes.
	Slots int
	// RecordBytes is the size of the largest record that the log accepts, in bytes.
	RecordBytes int
	Log         work.Log
	Decoder     feed.Decoder
	Replicas    Replicas
	Logger      *slog.Logger
	Meter       *meter.Meter
	Timing      view.Timing
	// Zones lists all availability zones.
	Zones []string
	// Regions maps each availability zone to its region.
	Regions work.Regions
	Access  access.Bounds
	Quota   quota.Bounds
	Cold    sched.ColdLimits
	// Spool accounts for the answers that callers have not read.
	Spool *spool.Spool
	// Memory bounds the bytes held for the calls in progress.
	Memory *memory.Budgets
	// Grace is the time from the signal to stop until the platform ends the process; drain.DefaultGrace if it is zero.
	Grace time.Duration
}

// Node is a box with all of its services.
type Node struct {
	deps     Deps
	layout   shard.Layout
	kern     *kernel.Kernel
	view     *view.View
	mirror   *mirror.Mirror
	feed     *feed.Feed
	shards   *shard.Manager
	entry    *entry.Entry
	peers    *remote.Client
	targets  *target.Targets
	crashes  *crash.Tracker
	senders  *callSenders
	server   *remote.Server
	detector *cutOffDetector
	failover *view.Failover
	watch    *load.Watch
	counter  *quota.Counter
	schedule drain.Schedule
	drain    *drain.State
}

// New returns a box whose services are not started.
func New(deps Deps) *Node {
	layout := shard.NewLayout(deps.Slots).WithRegions(deps.Regions)
	n := &Node{deps: deps, layout: layout, kern: kernel.New(deps.Logger), schedule: drain.NewSchedule(deps.Grace)}
	n.drain = drain.New(n.schedule)
	n.peers = remote.NewClient(n.isNear, n.successors)
	log := deps.Logger
	crashes := crash.New(deps.Replicas, deps.Meter, log)
	n.crashes = crashes
	n.targets = target.New(deps.Self.Zone, deps.Replicas, crashes, log)
	detourLog := detour.New(deps.Log, logProxies{n}, log)
	n.mirror = mirror.New(deps.Self, deps.Zones, detourLog, lateView{n}, n.peers, deps.Decoder, log)
	n.mirror.SetMaxSettingsAge(deps.Access.Revocation)
	n.feed = feed.New(n.mirror, deps.Decoder, n.targets, log)
	n.view = view.New(deps.Self, n.mirror, deps.Timing, log)
	n.view.SetSlotRegions(deps.Regions, layout.Regions())
	n.targets.SetBounds(target.Bounds{Regions: deps.Regions, Cold: deps.Cold})
	n.detector = newCutOffDetector(deps.Self.Name, n.view, n.peers, log)
	n.failover = view.NewFailover(n.view, deps.Regions, n.peers, n.detector, deps.Meter)
	n.shards = shard.New(deps.Self, layout, detourLog, n.failover, n.peers, deps.Meter, log)
	n.senders = newCallSenders(deps.Self, n.view, layout.Names())
	n.targets.SetWarmingCheck(n.senders.MayWarm)
	n.mirror.OnLevels(func(levels subset.Levels) {
		n.senders.SetLevels(levels)
		n.targets.SetLevels(levels)
	})
	n.watch = load.New(deps.Self, deps.Replicas, n.targets, crashes, n.senders, log)
	crashes.OnCrash(n.watch.SendCrash)
	crashes.SetArbiter(n.watch)
	sender := drainSender{Sender: deps.Replicas, drain: n.drain}
	runner := turns.New(n.targets, sender, deps.RecordBytes, deps.Memory, deps.Meter, log)
	forwarder := relay.New(n.targets, sender, deps.Memory.Answers, deps.Meter, log)
	n.counter = quota.NewCounter(deps.Self, deps.Zones, deps.Quota, n.view)
	quotas := quota.New(deps.Self, deps.Zones, deps.Quota, n.view, n.counter, n.peers, deps.Meter)
	n.entry = entry.New(deps.Self, layout, deps.Regions, n.feed, access.New(deps.Access), quotas, n.failover, n.detector, n.shards, runner, n.peers, forwarder, crashes, deps.Meter, log)
	n.entry.SetMemoryCheck(deps.Spool)
	n.entry.SetDrain(n.drain)
	n.server = remote.NewServer(deps.Self, forwardedTurns{Entry: n.entry, drain: n.drain}, n.shards, n.failover, n.counter, n.mirror, deps.Log, deps.Memory.Bodies, deps.Meter, log)
	for _, name := range []string{serve.PanicsMetric, crash.FoundMetric, crash.BlockedMetric} {
		deps.Meter.Count(name, 0) // exists from the start, so that alerts see its first increase
	}
	n.feed.OnConfig(func(conf *work.Config) {
		n.counter.Update(time.Now(), conf)
		quotas.Update(time.Now(), conf)
	})
	n.view.OnChange(n.onBoxesChanged)
	n.failover.OnRecovered(n.shards.NotifyRecovered)
	n.targets.OnFailing(n.watch.SendFailureRate)
	return n
}

// isNear reports whether the box is in the region of this one.
func (n *Node) isNear(box work.Box) bool {
	return n.deps.Regions[box.Zone] == n.deps.Regions[n.deps.Self.Zone]
}

// successors returns the other boxes of the box's availability zone that may be asked for the slot.
func (n *Node) successors(slot int, box work.Box) []work.Box {
	owners := slices.Clone(n.view.Owners(n.layout.Name(slot), holdersPerSlot))
	return slices.DeleteFunc(owners, func(next work.Box) bool {
		return next.Zone != box.Zone || next.Name == box.Name || next.Name == n.deps.Self.Name
	})
}

// lateView gives the mirror access to the view, which is created after it.
type lateView struct{ node *Node }

// Live implements mirror.Boxes.
func (v lateView) Live() []work.Box { return v.node.view.Live() }

// HasSettled implements mirror.Boxes.
func (v lateView) HasSettled() bool { return v.node.view.HasSettled() }

// logProxies provides the boxes through which the log may be called.
type logProxies struct{ node *Node }

// Boxes implements detour.Proxies. It returns only boxes of this box's region, since records may have to stay
// there and other regions are slow to reach.
func (p logProxies) Boxes() []work.Box {
	regions, self := p.node.deps.Regions, p.node.deps.Self
	var boxes []work.Box
	for _, box := range p.node.view.Live() {
		if box.Name != self.Name && regions[box.Zone] == regions[self.Zone] {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// LogVia implements detour.Proxies.
func (p logProxies) LogVia(box work.Box) work.Log {
	return p.node.peers.LogVia(box)
}

func (n *Node) onBoxesChanged() {
	live := n.view.Live()
	n.targets.SetBoxCount(len(live))
	n.senders.Update()
	n.targets.SetPlacerCount(n.senders.EffectivePlacers())
	n.peers.CloseAllExcept(live)
	n.counter.Update(time.Now(), n.feed.Config())
	n.watch.BoxesChanged()
	n.shards.Rebalance()
}

// Start starts all services, the front last. The front accepts connections once started, asks callers to
// reconnect elsewhere while the box is not ready, and completes calls in flight when it stops.
func (n *Node) Start(ctx context.Context, front kernel.Service) error {
	return n.kern.Start(ctx, n.serviceSpecs(front))
}

// serviceSpecs returns the services of a box. They are stopped from last to first.
func (n *Node) serviceSpecs(front kernel.Service) []kernel.ServiceSpec {
	factoryFor := func(svc kernel.Service) kernel.Factory {
		return func(*kernel.Kernel) (kernel.Service, error) { return svc, nil }
	}
	return []kernel.ServiceSpec{
		{Name: "meter", Make: factoryFor(n.deps.Meter)},
		{Name: "mirror", DependsOn: []string{"meter"}, Make: factoryFor(n.mirror)},
		{Name: "feed", DependsOn: []string{"meter", "mirror"}, Make: factoryFor(n.feed)},
		{Name: "view", DependsOn: []string{"meter"}, Make: factoryFor(n.view)},
		{Name: "load", DependsOn: []string{"view", "feed"}, Make: factoryFor(n.watch)},
		{Name: "crash", DependsOn: []string{"load"}, Make: factoryFor(n.crashes)},
		{Name: "quota", DependsOn: []string{"view", "feed"}, Make: factoryFor(n.counter)},
		{Name: "reach", DependsOn: []string{"view"}, Make: factoryFor(n.detector)},
		{Name: "failover", DependsOn: []string{"view", "reach"}, Make: factoryFor(n.failover)},
		{Name: "peers", DependsOn: []string{"view", "feed", "quota", "failover"}, Make: factoryFor(n.server)},
		{Name: "shards", DependsOn: []string{"peers"}, Make: factoryFor(n.shards), StopReserve: n.schedule.End - n.schedule.Release},
		{Name: "front", DependsOn: []string{"shards"}, Make: factoryFor(front), StopReserve: n.schedule.End - n.schedule.Close},
	}
}

// leave removes this box from the fleet and announces that to other boxes, which then ask for its slots. The
// announcement does not wait for the log, which may be slow, and overrides its member list.
func (n *Node) leave(ctx context.Context) {
	boxes := leaveRecipients(n.view.Live(), n.layout.Names(), n.view.Owners)
	var all sync.WaitGroup
	all.Go(func() { n.view.Leave(ctx) })
	all.Go(func() { n.announceLeave(ctx, boxes) })
	all.Wait()
}

// announceLeave announces to the other boxes that this one leaves.
func (n *Node) announceLeave(ctx context.Context, boxes []work.Box) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	var all sync.WaitGroup
	for _, box := range boxes {
		if box.Name == n.deps.Self.Name {
			continue
		}
		all.Go(func() {
			if err := n.peers.AnnounceLeave(ctx, box, n.deps.Self.Member()); err != nil {
				n.deps.Logger.Info("node: cannot announce leave to another box", "to", box.Name, "cause", err)
			}
		})
	}
	all.Wait()
}

// Ready reports whether the load balancer should send callers to this box.
func (n *Node) Ready() bool {
	return !n.drain.Begun() && n.feed.Ready() && n.view.HasSettled() && !n.detector.CutOff()
}

// WriteMetrics writes the metrics of the box in the Prometheus text exposition format.
func (n *Node) WriteMetrics(out io.Writer) error {
	gauges := n.deps.Meter
	gauges.Gauge("node.slots", int64(n.shards.HeldCount()))
	gauges.Gauge("node.boxes", int64(len(n.view.Live())))
	gauges.Gauge("node.ready", boolGauge(n.Ready()))
	gauges.Gauge("node.source", boolGauge(n.mirror.IsSource()))
	gauges.Gauge("node.cut_off", boolGauge(n.detector.CutOff()))
	gauges.Gauge("node.log_age_ms", n.view.ReadAge().Milliseconds())
	gauges.Gauge("node.memory_bytes", mappedMemory())
	gauges.Gauge("node.unread_bytes", n.deps.Spool.Kept())
	gauges.Gauge("node.list_age_ms", n.feed.ListAge().Milliseconds())
	gauges.Gauge("node.config_age_ms", n.feed.ConfigAge().Milliseconds())
	gauges.Gauge("node.configs_refused", n.feed.RejectedConfigs())
	gauges.Gauge("node.entries_refused", n.feed.RejectedEntries())
	gauges.Gauge("node.replicas", int64(len(n.targets.ListedIDs())))
	prefixes, preferred := n.targets.PrefixTotals()
	gauges.Gauge("node.shared_prefixes", int64(prefixes))
	gauges.Gauge("node.preferred_replicas", int64(preferred))
	if conf := n.feed.Config(); conf != nil {
		gauges.Gauge("node.config_version", conf.Version)
	}
	return gauges.WriteText(out)
}

// mappedMemory returns the memory mapped by the process, in bytes. Unlike runtime.ReadMemStats it does not
// stop the world.
func mappedMemory() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

func boolGauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// Limits returns the limits on what callers may send, or nil while no configuration is known.
func (n *Node) Limits() *work.Limits {
	conf := n.feed.Config()
	if conf == nil {
		return nil
	}
	return &conf.Limits
}

// Count adds by to a counter of the metrics.
func (n *Node) Count(name string, by int64) {
	n.deps.Meter.Count(name, by)
}

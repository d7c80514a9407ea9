package proof

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
	"mulleingate.dev/base/wire"
	"mulleingate.dev/gate/admit"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/gate/policy"
	"mulleingate.dev/gate/prog"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/slots"
	"mulleingate.dev/gate/trail"
	"mulleingate.dev/stand/applog"
)

const (
	boxCount  = 3
	zoneCount = 2
	slotCount = 2
	retention = 40 * time.Second
)

var zones = []string{"zone-a", "zone-b"}

// world is a simulated fleet of boxes on one shared log, with a switch for every fault.
type world struct {
	log     *applog.Store
	keys    sample.Keys
	cfg     types.Config
	tools   *fakeTools
	engines *engineState

	// restarting is held while a box is restarted, so that it is not started twice.
	restarting sync.Mutex

	mu    sync.Mutex
	boxes []*box
	// cut[i][j] disconnects boxes i and j from each other, cutLog[i] disconnects box i from the log.
	cut    [boxCount][boxCount]bool
	cutLog [boxCount]bool
}

// box is one process. A restarted box is a new value with a new incarnation.
type box struct {
	w     *world
	index int
	self  types.Member
	// up is false after a crash or a stop. While paused is not nil, the box neither sends nor receives.
	up     bool
	paused chan struct{}
	// stopping is set during a planned stop, when the balancer sends no more calls.
	stopping bool

	view      *member.View
	store     *policy.Store
	owners    *slots.Slots
	scheduler *admit.Scheduler
	progs     *prog.Prog
	calls     *plain.Plain
}

func newWorld() (*world, error) {
	w := &world{log: applog.New(applog.Faults{Retention: types.Duration(retention), AppendsPerSecond: 300}), keys: sample.NewKeys("proof")}
	w.tools = &fakeTools{counts: map[string]int{}, outputs: map[string]json.RawMessage{}}
	w.engines = newEngineState()
	cfg, err := sample.Config(sample.Deployment{
		Region: "home", Zones: zones, SlotsPerZone: slotCount, Workspaces: []string{"one", "two"}, Models: []string{"m"},
		Services: []types.Service{{Name: "book", Price: 40}, {Name: "probed", Price: 40, ProbePath: "/v1/probe"}},
	}, w.keys)
	if err != nil {
		return nil, err
	}
	cfg.Defaults.GrantChunk = 150
	cfg.Defaults.MaxTokens = 20
	w.cfg = cfg
	if _, err := w.publish(context.Background(), 0, "first"); err != nil {
		return nil, err
	}
	for i := range boxCount {
		w.boxes = append(w.boxes, &box{w: w, index: i})
		w.start(i)
	}
	return w, nil
}

func (w *world) publish(ctx context.Context, base int64, note string) (types.Revision, error) {
	draft := revs.Draft{Base: base, Author: note, Note: note, Config: w.cfg}
	return revs.Publish(ctx, w.log, w.keys.Operator, []ed25519.PublicKey{w.keys.Public()}, draft)
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

// start starts box i as a new incarnation.
func (w *world) start(i int) {
	b := &box{w: w, index: i, up: true}
	b.self = types.Member{Name: fmt.Sprintf("box-%d", i), Zone: zones[i%zoneCount], Peer: addr(i)}
	inc := ident.RandomID()
	logger := slog.New(slog.NewTextHandler(logOutput(), &slog.HandlerOptions{Level: slog.LevelDebug})).With("box", b.self.Name)
	metrics := meter.New()
	root, _ := seal.NewRootKey(w.keys.Root)
	timing := member.Timing{HeartbeatInterval: 100 * time.Millisecond, SuspectTimeout: 400 * time.Millisecond, ListInterval: 200 * time.Millisecond, Fanout: 8}
	b.view = member.New(b.self, inc, b, b, timing, logger)
	b.store = policy.New(b.self.Name, root, []ed25519.PublicKey{w.keys.Public()}, b, b, b.view,
		policy.Timing{PollInterval: 300 * time.Millisecond, Retention: retention}, logger)
	b.owners = slots.New(b.self, inc, b, b.view, b.store, slots.Timing{
		CheckInterval: 100 * time.Millisecond, FlushDelay: 10 * time.Millisecond, AdoptionDelay: 2 * time.Second,
		Retention: retention, AppendRate: 100, MaxQueued: 1000,
	}, metrics, logger)
	b.scheduler = admit.New(b.self.Zone, admit.Options{
		Strategy: sched.Scored, Order: sched.OldestProgram, MaxWait: 2 * time.Second, StarvationAge: time.Second, HoldCaches: true, Seed: uint64(i),
	}, b.store, metrics, logger)
	b.progs = prog.New(b.self.Zone, b.owners, b.scheduler, &engineClient{b: b}, b.store, metrics, trail.New(64), logger)
	b.owners.Watch(b.progs)
	b.calls = plain.New(b.owners, w.tools, b.store, metrics, logger)
	w.mu.Lock()
	w.boxes[i] = b
	w.mu.Unlock()
	ctx := context.Background()
	_ = b.view.Start(ctx)
	_ = b.store.Start(ctx)
	_ = b.owners.Start(ctx)
	_ = b.scheduler.Start(ctx)
	_ = b.progs.Start(ctx)
	b.scheduler.Notify(lease.Targets{List: w.engines.targets()})
}

// logOutput returns the writer of the boxes' logs, which discards them unless PROOF_LOG is set.
func logOutput() io.Writer {
	if os.Getenv("PROOF_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// crash ends box i at once, without releasing its slots or waiting for its calls in flight.
func (w *world) crash(i int) {
	b := w.box(i)
	w.mu.Lock()
	up := b.up
	b.up = false
	w.mu.Unlock()
	b.resume()
	if up {
		b.halt()
	}
}

// replace starts box i if it is down, as the platform does after a crash.
func (w *world) replace(i int) {
	w.restarting.Lock()
	defer w.restarting.Unlock()
	if !w.box(i).isUp() {
		w.start(i)
	}
}

// halt stops all services of the box without waiting for work in flight.
func (b *box) halt() {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = b.progs.Stop(ctx)
	_ = b.owners.Stop(ctx)
	_ = b.calls.Stop(ctx)
	_ = b.scheduler.Stop(ctx)
	_ = b.store.Stop(ctx)
	_ = b.view.Stop(ctx)
}

// stopPlanned stops box i in a planned way: it leaves the view, releases its slots and finishes its calls.
func (w *world) stopPlanned(i int) {
	b := w.box(i)
	if !b.isUp() {
		return
	}
	b.resume()
	w.mu.Lock()
	b.stopping = true
	w.mu.Unlock()
	b.view.AnnounceLeave()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	b.owners.Release(ctx)
	_ = b.progs.Stop(ctx)
	_ = b.calls.Stop(ctx)
	w.mu.Lock()
	b.up = false
	w.mu.Unlock()
	b.halt()
}

func (w *world) box(i int) *box {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boxes[i]
}

func (b *box) pause() {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	if b.up && b.paused == nil {
		b.paused = make(chan struct{})
	}
}

func (b *box) resume() {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	if b.paused != nil {
		close(b.paused)
		b.paused = nil
	}
}

// isUp reports whether the process is running, paused or not.
func (b *box) isUp() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up
}

// responds reports whether the process is running and not paused.
func (b *box) responds() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up && b.paused == nil
}

// inService reports whether the balancer sends calls to the box.
func (b *box) inService() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up && !b.stopping
}

// waitResumed blocks while the box is paused and reports whether the box is up.
func (b *box) waitResumed() bool {
	for {
		b.w.mu.Lock()
		paused, up := b.paused, b.up
		b.w.mu.Unlock()
		if paused == nil {
			return up
		}
		<-paused
	}
}

// heal ends every fault and restarts the boxes that are down.
func (w *world) heal() {
	w.mu.Lock()
	w.cut = [boxCount][boxCount]bool{}
	w.cutLog = [boxCount]bool{}
	w.mu.Unlock()
	w.log.SetFaults(applog.Faults{Retention: types.Duration(retention), AppendsPerSecond: 300})
	w.tools.setFaults(false, false)
	w.engines.breakNext(0)
	for i := range boxCount {
		w.box(i).resume()
		w.replace(i)
	}
}

// close stops all boxes.
func (w *world) close() {
	for i := range boxCount {
		w.crash(i)
	}
}

// Append appends to the shared log if box b can reach it.
func (b *box) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := b.checkLog(ctx); err != nil {
		return 0, err
	}
	at, err := b.w.log.Append(ctx, stream, data)
	if !b.waitResumed() {
		return 0, fault.Fail(fault.LogUnavailable, "box is down")
	}
	return at, err
}

// Read reads from the shared log if box b can reach it.
func (b *box) Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error) {
	if err := b.checkLog(ctx); err != nil {
		return types.LogPage{}, err
	}
	page, err := b.w.log.Read(ctx, stream, from, limit)
	if !b.waitResumed() {
		return page, fault.Fail(fault.LogUnavailable, "box is down")
	}
	return page, err
}

// checkLog adds the latency of a log call and returns an error if box b cannot reach the log.
func (b *box) checkLog(ctx context.Context) error {
	if !b.waitResumed() {
		return fault.Fail(fault.LogUnavailable, "box is down")
	}
	time.Sleep(time.Millisecond)
	b.w.mu.Lock()
	cut := b.w.cutLog[b.index]
	b.w.mu.Unlock()
	if cut || ctx.Err() != nil {
		return fault.Fail(fault.LogUnavailable, "cut off from the log")
	}
	return nil
}

// List implements the platform's list of boxes. It holds all boxes, also those that are down,
// since the real list lags behind.
func (b *box) List(context.Context) (types.PlatformList, error) {
	var list types.PlatformList
	for i := range boxCount {
		list.Boxes = append(list.Boxes, types.Member{Name: fmt.Sprintf("box-%d", i), Zone: zones[i%zoneCount], Peer: addr(i)})
	}
	return list, nil
}

// connect returns the box at an address if b can connect to it.
func (b *box) connect(to netip.AddrPort) (*box, error) {
	time.Sleep(time.Millisecond)
	if !b.waitResumed() {
		return nil, fault.Refuse(fault.PeerUnreachable, "box is down")
	}
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	for i, other := range b.w.boxes {
		if addr(i) != to {
			continue
		}
		if !other.up || other.paused != nil || b.w.cut[b.index][i] || b.w.cut[i][b.index] {
			return nil, fault.Refuse(fault.PeerUnreachable, "box cannot be reached")
		}
		return other, nil
	}
	return nil, fault.Refuse(fault.PeerUnreachable, "no such box")
}

// Beat delivers a heartbeat to the box at an address.
func (b *box) Beat(ctx context.Context, to netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	other, err := b.connect(to)
	if err != nil {
		return nil, err
	}
	return other.view.Beat(ctx, beat)
}

// Revision fetches a configuration newer than have from the box at an address.
func (b *box) Revision(_ context.Context, to netip.AddrPort, have int64) ([]byte, error) {
	other, err := b.connect(to)
	if err != nil {
		return nil, err
	}
	return other.store.NewerRevision(have), nil
}

func (w *world) operatorKeys() []ed25519.PublicKey {
	return []ed25519.PublicKey{w.keys.Public()}
}

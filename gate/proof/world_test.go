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
	keep      = 40 * time.Second
)

var zones = []string{"zone-a", "zone-b"}

// world is a fleet on one log, with switches for everything that can fail.
type world struct {
	log    *applog.Store
	keys   sample.Keys
	cfg    types.Config
	tools  *tools
	models *models

	// booting keeps two replacements of a box apart.
	booting sync.Mutex

	mu    sync.Mutex
	boxes []*box
	// cut[i][j] loses what box i sends to box j; cutLog[i] what it sends to the log.
	cut    [boxCount][boxCount]bool
	cutLog [boxCount]bool
}

// box is one process: it dies with its incarnation.
type box struct {
	w     *world
	index int
	self  types.Member
	// up is false after a crash; paused blocks everything that goes in or out.
	up     bool
	paused chan struct{}
	// stopping is set during a planned stop: the balancer sends no more calls.
	stopping bool

	view   *member.View
	store  *policy.Store
	owners *slots.Slots
	queue  *admit.Loop
	progs  *prog.Prog
	calls  *plain.Plain
}

func newWorld() (*world, error) {
	w := &world{log: applog.New(applog.Faults{Keep: types.Duration(keep), Limit: 300}), keys: sample.NewKeys("proof")}
	w.tools = &tools{counts: map[string]int{}, outputs: map[string]json.RawMessage{}}
	w.models = newModels()
	cfg, err := sample.Config(sample.Deployment{
		Region: "home", Zones: zones, Slots: slotCount, Workspaces: []string{"one", "two"}, Models: []string{"m"},
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

// start boots box i as a new incarnation.
func (w *world) start(i int) {
	b := &box{w: w, index: i, up: true}
	b.self = types.Member{Name: fmt.Sprintf("box-%d", i), Zone: zones[i%zoneCount], Peer: addr(i)}
	inc := ident.RandomID()
	logger := slog.New(slog.NewTextHandler(logTo(), &slog.HandlerOptions{Level: slog.LevelDebug})).With("box", b.self.Name)
	counts := meter.New()
	root, _ := seal.NewRootKey(w.keys.Root)
	timing := member.Timing{Beat: 100 * time.Millisecond, Suspect: 400 * time.Millisecond, List: 200 * time.Millisecond, Fanout: 8}
	b.view = member.New(b.self, inc, b, b, timing, logger)
	b.store = policy.New(b.self.Name, root, []ed25519.PublicKey{w.keys.Public()}, b, b, b.view,
		policy.Timing{Poll: 300 * time.Millisecond, Retention: keep}, logger)
	b.owners = slots.New(b.self, inc, b, b.view, b.store, slots.Timing{
		CheckInterval: 100 * time.Millisecond, FlushDelay: 10 * time.Millisecond, AdoptionDelay: 2 * time.Second,
		Retention: keep, AppendRate: 100, MaxQueued: 1000,
	}, counts, logger)
	b.queue = admit.New(b.self.Zone, admit.Options{
		Strategy: sched.Scored, Order: sched.Age, MaxWait: 2 * time.Second, Starve: time.Second, Holds: true, Seed: uint64(i),
	}, b.store, counts, logger)
	b.progs = prog.New(b.self.Zone, b.owners, b.queue, &engines{b: b}, b.store, counts, trail.New(64), logger)
	b.owners.Watch(b.progs)
	b.calls = plain.New(b.owners, w.tools, b.store, counts, logger)
	w.mu.Lock()
	w.boxes[i] = b
	w.mu.Unlock()
	ctx := context.Background()
	_ = b.view.Start(ctx)
	_ = b.store.Start(ctx)
	_ = b.owners.Start(ctx)
	_ = b.queue.Start(ctx)
	_ = b.progs.Start(ctx)
	b.queue.Tell(lease.Targets{List: w.models.targets()})
}

// logTo is where the boxes log: nowhere, unless PROOF_LOG is set.
func logTo() io.Writer {
	if os.Getenv("PROOF_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// crash ends box i without any goodbye. What it had handed out is gone or goes on alone.
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

// replace starts box i if it is down, as the platform does within seconds.
func (w *world) replace(i int) {
	w.booting.Lock()
	defer w.booting.Unlock()
	if !w.box(i).isUp() {
		w.start(i)
	}
}

// halt ends all goroutines of the box.
func (b *box) halt() {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = b.progs.Stop(ctx)
	_ = b.owners.Stop(ctx)
	_ = b.calls.Stop(ctx)
	_ = b.queue.Stop(ctx)
	_ = b.store.Stop(ctx)
	_ = b.view.Stop(ctx)
}

// stop is a planned stop.
func (w *world) stop(i int) {
	b := w.box(i)
	if !b.isUp() {
		return
	}
	b.resume()
	w.mu.Lock()
	b.stopping = true
	w.mu.Unlock()
	b.view.Leave()
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

// isUp reports whether the process lives.
func (b *box) isUp() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up
}

// answers reports whether the process lives and is not paused.
func (b *box) answers() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up && b.paused == nil
}

// inService reports whether a balancer sends calls to the box.
func (b *box) inService() bool {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.up && !b.stopping
}

// pass waits while the box is paused; it reports whether the box is still alive.
func (b *box) pass() bool {
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

// heal ends every fault and restarts what is down.
func (w *world) heal() {
	w.mu.Lock()
	w.cut = [boxCount][boxCount]bool{}
	w.cutLog = [boxCount]bool{}
	w.mu.Unlock()
	w.log.Set(applog.Faults{Keep: types.Duration(keep), Limit: 300})
	w.tools.set(false, false)
	w.models.breakNext(0)
	for i := range boxCount {
		w.box(i).resume()
		w.replace(i)
	}
}

// close ends everything.
func (w *world) close() {
	for i := range boxCount {
		w.crash(i)
	}
}

// Append implements the log as box b reaches it.
func (b *box) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := b.toLog(ctx); err != nil {
		return 0, err
	}
	at, err := b.w.log.Append(ctx, stream, data)
	if !b.pass() {
		return 0, fault.Fail(fault.LogUnavailable, "box is dead")
	}
	return at, err
}

// Read implements the log as box b reaches it.
func (b *box) Read(ctx context.Context, stream string, from int64, limit int) (types.LogPage, error) {
	if err := b.toLog(ctx); err != nil {
		return types.LogPage{}, err
	}
	page, err := b.w.log.Read(ctx, stream, from, limit)
	if !b.pass() {
		return page, fault.Fail(fault.LogUnavailable, "box is dead")
	}
	return page, err
}

func (b *box) toLog(ctx context.Context) error {
	if !b.pass() {
		return fault.Fail(fault.LogUnavailable, "box is dead")
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

// List implements the platform's list: all boxes, live or not, since it lags.
func (b *box) List(context.Context) (types.PlatformList, error) {
	var list types.PlatformList
	for i := range boxCount {
		list.Boxes = append(list.Boxes, types.Member{Name: fmt.Sprintf("box-%d", i), Zone: zones[i%zoneCount], Peer: addr(i)})
	}
	return list, nil
}

// reach finds the box at an address if it can be reached from b.
func (b *box) reach(to netip.AddrPort) (*box, error) {
	time.Sleep(time.Millisecond)
	if !b.pass() {
		return nil, fault.Refuse(fault.PeerUnreachable, "box is dead")
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

// Beat implements heartbeats.
func (b *box) Beat(ctx context.Context, to netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	other, err := b.reach(to)
	if err != nil {
		return nil, err
	}
	return other.view.Beat(ctx, beat)
}

// Revision implements fetching configuration from another box.
func (b *box) Revision(_ context.Context, to netip.AddrPort, have int64) ([]byte, error) {
	other, err := b.reach(to)
	if err != nil {
		return nil, err
	}
	return other.store.Newer(have), nil
}

func (w *world) operators() []ed25519.PublicKey {
	return []ed25519.PublicKey{w.keys.Public()}
}

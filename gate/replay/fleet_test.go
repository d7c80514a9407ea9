package replay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mulleingate.dev/gate/crash"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

const (
	service = "engines"
	// reportEvery is the interval of an engine's load reports, and reportLag the age of a report on
	// arrival.
	reportEvery = 300 * time.Millisecond
	reportLag   = 100 * time.Millisecond
)

// fleetSize describes the boxes of a fleet.
type fleetSize struct {
	// boxes is the number of boxes, and owners the number of those that own programs and place
	// their calls.
	boxes, owners int
	zones         int
	// placers is the number of placing boxes that each box is told, or zero to use
	// sched.EffectivePlacers.
	placers int
}

// placerCount returns the number of placing boxes that each box is told.
func (s fleetSize) placerCount() int {
	if s.placers > 0 {
		return s.placers
	}
	near := max(1, s.owners/s.zones)
	return sched.EffectivePlacers(near, s.owners-near)
}

// zone returns the availability zone of the i-th box or engine.
func (s fleetSize) zone(i int) string {
	return string(rune('a' + i%s.zones))
}

var (
	ten = fleetSize{boxes: 10, owners: 10, zones: 3}
	// sixtyFour is a fleet in which few boxes own all programs.
	sixtyFour  = fleetSize{boxes: 64, owners: 14, zones: 3}
	twoHundred = fleetSize{boxes: 200, owners: 40, zones: 5}
)

// noPool is a connection pool that does nothing, and its own opener.
type noPool struct{}

func (noPool) Close()                             {}
func (noPool) SetLimit(int)                       {}
func (noPool) HasIdle() bool                      { return true }
func (noPool) Open(work.Replica, int) target.Pool { return noPool{} }

// placeFunc places a turn on behalf of a box.
type placeFunc func(box *target.Targets, ask target.CallRequest) (*target.Lease, error)

// fleet is a set of boxes that place calls on emulated engines.
type fleet struct {
	size fleetSize
	spec engineSpec
	// boxes holds the state of the boxes that own programs and place calls.
	boxes []*target.Targets
	// engines holds the engines by ID, and ordered in a fixed order.
	engines map[string]*engine
	ordered []*engine
	place   placeFunc
	rng     *rand.Rand
	loops   sync.WaitGroup

	mu sync.Mutex
	// cached holds the tokens cached for each conversation, by engine ID.
	cached map[string]map[string]int
}

func newFleet(size fleetSize, engines int, spec engineSpec, place placeFunc, seed uint64) *fleet {
	f := &fleet{size: size, spec: spec, engines: map[string]*engine{}, place: place, rng: rand.New(rand.NewPCG(seed, seed)), cached: map[string]map[string]int{}}
	for i := range engines {
		rep := work.Replica{
			ID: fmt.Sprintf("e%d", i), Service: service, Zone: size.zone(i), Slots: spec.slots,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
		}
		e := newEngine(rep, spec)
		f.engines[rep.ID] = e
		f.ordered = append(f.ordered, e)
	}
	conf := work.NewConfig(1, nil, []work.Service{{Name: service, Connections: 10_000, Engine: &work.Engine{Slots: spec.slots, Stride: spec.stride}}}, work.Limits{})
	for i := range size.owners {
		t := target.New(size.zone(i), noPool{}, crash.New(nil, nil, nil), slog.New(slog.NewTextHandler(io.Discard, nil)))
		t.Configure(conf)
		t.SetBoxCount(size.boxes)
		t.SetPlacerCount(size.placerCount())
		t.OnFailing(func(rep work.Replica, share float64) {
			go func() {
				time.Sleep(transitTime / 2)
				for _, other := range f.boxes {
					if other != t {
						other.UpdateFailureRate(rep.ID, share)
					}
				}
			}()
		})
		for _, e := range f.ordered {
			t.Put(e.rep)
		}
		f.boxes = append(f.boxes, t)
	}
	return f
}

// start runs the engines and their load reports until ctx ends.
func (f *fleet) start(ctx context.Context) {
	for _, e := range f.ordered {
		f.loops.Go(func() { e.loop(ctx) })
		f.loops.Go(func() { f.report(ctx, e) })
	}
}

// report sends the engine's load to the boxes of its zone, delayed by reportLag.
func (f *fleet) report(ctx context.Context, e *engine) {
	for ctx.Err() == nil {
		load := e.load()
		time.Sleep(reportLag)
		for i, box := range f.boxes {
			if f.size.zone(i) == e.rep.Zone {
				box.UpdateLoad(e.rep.ID, load)
			}
		}
		time.Sleep(reportEvery - reportLag)
	}
}

func (f *fleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// cachedFor returns the tokens cached for a conversation or its parent, by engine ID.
func (f *fleet) cachedFor(conv conversation) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	byEngine := maps.Clone(f.cached[conv.parent])
	if byEngine == nil {
		byEngine = map[string]int{}
	}
	for id, tokens := range f.cached[conv.name] {
		byEngine[id] = max(byEngine[id], tokens)
	}
	return byEngine
}

func (f *fleet) recordCached(name, engineID string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cached[name] == nil {
		f.cached[name] = map[string]int{}
	}
	f.cached[name][engineID] = tokens
}

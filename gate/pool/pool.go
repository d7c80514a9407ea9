package pool

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
)

// Owners tells which slots this box holds.
type Owners interface {
	Owned() map[ident.Slot]int64
}

// Engines reads and orders engines.
type Engines interface {
	Targets() []types.Target
	Models(ctx context.Context, target types.Target) (map[string]string, error)
	SendModelOrder(ctx context.Context, target types.Target, order types.EngineOrder) error
}

// Policies is the configuration in force.
type Policies interface {
	Slots() []ident.Slot
	Models() []types.Model
}

// LeavingEngines tells which engines leave.
type LeavingEngines interface {
	Leaving() []string
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
}

const (
	loadOrder = "load"
	tick      = 2 * time.Second
	// busyPause is the wait after the weight store has refused.
	busyPause = 10 * time.Second
)

// Pool is the service.
type Pool struct {
	owners   Owners
	engines  Engines
	policies Policies
	leavers  LeavingEngines
	counts   Counts
	logger   *slog.Logger

	// quiet is until when a model gets no orders, by model.
	quiet map[string]time.Time
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// New makes the service.
func New(owners Owners, engines Engines, policies Policies, leavers LeavingEngines, counts Counts, logger *slog.Logger) *Pool {
	p := &Pool{
		owners: owners, engines: engines, policies: policies, leavers: leavers, counts: counts, logger: logger,
		quiet: map[string]time.Time{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Start begins to look after the pools whose slot this box holds.
func (p *Pool) Start(context.Context) error {
	p.done.Go(func() {
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-time.After(tick):
				p.look()
			}
		}
	})
	return nil
}

// Stop ends the service.
func (p *Pool) Stop(context.Context) error {
	p.stop()
	p.done.Wait()
	return nil
}

// Slot is the slot whose owner gives a pool's orders.
func Slot(model string, slots []ident.Slot) ident.Slot {
	return ident.KeySlot("pool", model, slots)
}

func (p *Pool) look() {
	slots := p.policies.Slots()
	if len(slots) == 0 {
		return
	}
	held := p.owners.Owned()
	for _, model := range p.policies.Models() {
		epoch, mine := held[Slot(model.Name, slots)]
		if !mine || model.MinWarm == 0 || time.Now().Before(p.quiet[model.Name]) {
			continue
		}
		p.tend(model, epoch)
	}
}

// tend gives at most one order for the model: the weight store is shared.
func (p *Pool) tend(model types.Model, epoch int64) {
	target, ok := ChooseEngine(model, p.read())
	if !ok {
		return
	}
	order := types.EngineOrder{Kind: loadOrder, Model: model.Name, Version: model.Version, Fence: epoch}
	err := p.engines.SendModelOrder(p.ctx, target, order)
	if err == nil {
		p.counts.Count("pool.orders", 1)
		p.logger.Info("pool: engine ordered to load", "target", target.Name, "model", model.Name, "version", model.Version, "fence", epoch)
		return
	}
	p.counts.Count("pool.order_failures", 1)
	p.quiet[model.Name] = time.Now().Add(busyPause)
	p.logger.Warn("pool: order failed", "target", target.Name, "model", model.Name, "kind", string(fault.From(err).Kind))
}

// Replica is what an engine serves, as read back from it.
type Replica struct {
	Target types.Target
	// Models maps what is loaded to its version.
	Models map[string]string
}

// read asks all engines in service what they serve; silent ones are left out.
func (p *Pool) read() []Replica {
	leaving := map[string]bool{}
	for _, name := range p.leavers.Leaving() {
		leaving[name] = true
	}
	var out []Replica
	for _, target := range p.engines.Targets() {
		if target.Leaving || leaving[target.Name] {
			continue
		}
		models, err := p.engines.Models(p.ctx, target)
		if err == nil {
			out = append(out, Replica{Target: target, Models: models})
		}
	}
	return out
}

// ChooseEngine picks the engine that should load the model next, if any. An engine that serves
// another version is only changed while a second one serves the model, so that an order
// never takes the last warm replica away.
func ChooseEngine(model types.Model, replicas []Replica) (types.Target, bool) {
	var warm, stale, cold []types.Target
	for _, r := range replicas {
		version, loaded := r.Models[model.Name]
		switch {
		case loaded && version == model.Version:
			warm = append(warm, r.Target)
		case loaded:
			stale = append(stale, r.Target)
		default:
			cold = append(cold, r.Target)
		}
	}
	if len(stale) > 0 && len(warm)+len(stale) > 1 {
		return stale[0], true
	}
	if len(warm) < model.MinWarm && len(cold) > 0 {
		return cold[0], true
	}
	return types.Target{}, false
}

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

// Owners reports which slots this box owns.
type Owners interface {
	// Owned returns the epochs of the owned slots.
	Owned() map[ident.Slot]int64
}

// Engines queries engines and sends them orders.
type Engines interface {
	Targets() []types.Target
	// Models returns the versions of the loaded models by name.
	Models(ctx context.Context, target types.Target) (map[string]string, error)
	SendModelOrder(ctx context.Context, target types.Target, order types.EngineOrder) error
}

// Configuration is the configuration in force.
type Configuration interface {
	Slots() []ident.Slot
	Models() []types.Model
}

// LeavingEngines lists the engines that are known to be leaving, by name.
type LeavingEngines interface {
	LeavingEngines() []string
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

const (
	loadOrder     = "load"
	checkInterval = 2 * time.Second
	// pauseAfterFailure is how long a model gets no orders after one has failed.
	pauseAfterFailure = 10 * time.Second
)

// Pool is the service that sends the orders for the models whose slots this box owns.
type Pool struct {
	owners         Owners
	engines        Engines
	policies       Configuration
	leavingEngines LeavingEngines
	counts         Counts
	logger         *slog.Logger

	// pausedUntil holds by model until when it gets no orders. Only the goroutine of Start uses it.
	pausedUntil map[string]time.Time
	ctx         context.Context
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// New returns the service, not yet started.
func New(owners Owners, engines Engines, policies Configuration, leavingEngines LeavingEngines, counts Counts, logger *slog.Logger) *Pool {
	p := &Pool{
		owners: owners, engines: engines, policies: policies, leavingEngines: leavingEngines, counts: counts, logger: logger,
		pausedUntil: map[string]time.Time{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Start implements kernel.Service.
func (p *Pool) Start(context.Context) error {
	p.done.Go(func() {
		for {
			select {
			case <-p.ctx.Done():
				return
			case <-time.After(checkInterval):
				p.check()
			}
		}
	})
	return nil
}

// Stop implements kernel.Service.
func (p *Pool) Stop(context.Context) error {
	p.stop()
	p.done.Wait()
	return nil
}

// Slot returns the slot whose owner sends the orders for the model.
func Slot(model string, slots []ident.Slot) ident.Slot {
	return ident.KeySlot("pool", model, slots)
}

// check sends orders for the models whose slots this box owns.
func (p *Pool) check() {
	slots := p.policies.Slots()
	if len(slots) == 0 {
		return
	}
	held := p.owners.Owned()
	for _, model := range p.policies.Models() {
		epoch, owned := held[Slot(model.Name, slots)]
		if !owned || model.MinWarm == 0 || time.Now().Before(p.pausedUntil[model.Name]) {
			continue
		}
		p.sendOrder(model, epoch)
	}
}

// sendOrder sends at most one order for the model, since all engines load from the same weight store.
func (p *Pool) sendOrder(model types.Model, epoch int64) {
	target, ok := ChooseEngine(model, p.readReplicas())
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
	p.pausedUntil[model.Name] = time.Now().Add(pauseAfterFailure)
	p.logger.Warn("pool: order failed", "target", target.Name, "model", model.Name, "kind", string(fault.From(err).Kind))
}

// Replica is an engine with the models that it reports as loaded.
type Replica struct {
	Target types.Target
	// Models holds the versions of the loaded models by name.
	Models map[string]string
}

// readReplicas asks all engines that are not leaving which models they serve, and omits those that don't
// respond.
func (p *Pool) readReplicas() []Replica {
	leaving := map[string]bool{}
	for _, name := range p.leavingEngines.LeavingEngines() {
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

// ChooseEngine returns the engine that should load the model next, if any. An engine with another version is
// only updated while a second one serves the model in some version, so that the model stays available.
func ChooseEngine(model types.Model, replicas []Replica) (types.Target, bool) {
	var current, outdated, unloaded []types.Target
	for _, r := range replicas {
		version, loaded := r.Models[model.Name]
		switch {
		case loaded && version == model.Version:
			current = append(current, r.Target)
		case loaded:
			outdated = append(outdated, r.Target)
		default:
			unloaded = append(unloaded, r.Target)
		}
	}
	if len(outdated) > 0 && len(current)+len(outdated) > 1 {
		return outdated[0], true
	}
	if len(current) < model.MinWarm && len(unloaded) > 0 {
		return unloaded[0], true
	}
	return types.Target{}, false
}

package prog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
	"mulleingate.dev/gate/lease"
)

// Owner decides on a slot's memory.
type Owner interface {
	Do(ctx context.Context, id ident.Slot, mode desk.Mode, op desk.Op) (*desk.Ticket, error)
	Owned() map[ident.Slot]int64
}

// Queue gives places at engines.
type Queue interface {
	Acquire(ctx context.Context, ask lease.Request) (*lease.Lease, error)
	Leaving() []string
	Holders() map[string][]string
	EvacuationTarget(ask lease.Request) (types.Target, bool)
}

// Engines run model calls.
type Engines interface {
	Run(ctx context.Context, target types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error)
	Cancel(target types.Target, attempt string)
	Release(programs []string)
	Sweep(gone func(program string) bool)
	Target(name string) (types.Target, bool)
	Move(program string, from, to types.Target)
	Trim(program, keep string)
	Drop(program, name string)
}

// Policies is the configuration in force.
type Policies interface {
	Ring() (*seal.Keyring, error)
	Defaults() types.Defaults
	Allowed(in types.RuleInput) bool
	Order(in types.RuleInput) int64
}

// StepRecorder keeps decisions for operators.
type StepRecorder interface {
	Record(step types.TraceEvent)
}

// Counts receives figures.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
	Latency(name, workspace, class string, d time.Duration)
}

const (
	sweepEvery = 10 * time.Second
	sweepAfter = 2 * time.Second
	// evacuateEvery is how often caches on leaving engines are looked for.
	evacuateEvery = time.Second
)

// Prog is the service.
type Prog struct {
	zone     string
	owner    Owner
	queue    Queue
	engines  Engines
	policies Policies
	counts   Counts
	notes    StepRecorder
	logger   *slog.Logger

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
	runs sync.WaitGroup
}

// New makes the service for a box in zone.
func New(zone string, owner Owner, queue Queue, engines Engines, policies Policies, counts Counts, notes StepRecorder, logger *slog.Logger) *Prog {
	p := &Prog{
		zone: zone, owner: owner, queue: queue, engines: engines, policies: policies,
		counts: counts, notes: notes, logger: logger,
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Start begins the regular sweep of engine caches.
func (p *Prog) Start(context.Context) error {
	p.done.Go(func() { p.every(sweepEvery, p.sweep) })
	p.done.Go(func() { p.every(evacuateEvery, p.evacuate) })
	return nil
}

func (p *Prog) every(interval time.Duration, do func()) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(interval):
			do()
		}
	}
}

// Stop waits for the runs under way until ctx ends, then cuts them.
func (p *Prog) Stop(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		p.runs.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	p.stop()
	p.done.Wait()
	return nil
}

// Ended frees the caches of programs that the slot's owner has ended.
func (p *Prog) Ended(slot ident.Slot, programs []string) {
	p.counts.Count("prog.ended", int64(len(programs)))
	p.logger.Info("prog: programs ended", "slot", slot.String(), "count", len(programs))
	p.engines.Release(programs)
}

// Claimed sweeps after a takeover: the owner before may have left caches behind.
func (p *Prog) Claimed(ident.Slot) {
	select {
	case <-p.ctx.Done():
	case <-time.After(sweepAfter):
		p.sweep()
	}
}

// sweep releases cached programs of held slots that are gone.
func (p *Prog) sweep() {
	held := p.owner.Owned()
	live := map[string]bool{}
	for slot := range held {
		_, err := p.owner.Do(p.ctx, slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
			for id, prog := range d.State.Programs {
				live[id] = prog.Ended == ""
			}
			return nil, nil
		})
		if err != nil {
			delete(held, slot)
		}
	}
	p.engines.Sweep(func(id string) bool {
		slot, err := ident.ProgramSlot(id)
		if err != nil {
			return false
		}
		_, mine := held[slot]
		return mine && !live[id]
	})
}

// placed reports why the program's data may not be on this box or in its log, if so.
func (p *Prog) placed(in types.RuleInput) error {
	in.Zone = p.zone
	for _, use := range []string{"plaintext", "checkpoint"} {
		in.Use = use
		if !p.policies.Allowed(in) {
			return fault.Refuse(fault.NoAllowedPlace, "the policy does not allow the data on this box")
		}
	}
	return nil
}

func input(b types.Begin) types.RuleInput {
	return types.RuleInput{
		Workspace: b.Workspace, DataClass: b.DataClass, Kind: b.Kind, Model: b.Model,
		Depth: int64(b.Depth), Budget: b.Budget,
	}
}

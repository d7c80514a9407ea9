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

// Owner runs operations on the state of the slots that this box owns.
type Owner interface {
	Do(ctx context.Context, id ident.Slot, mode desk.Mode, op desk.Op) (*desk.Ticket, error)
	Owned() map[ident.Slot]int64
}

// Queue assigns calls to engines.
type Queue interface {
	Acquire(ctx context.Context, req lease.Request) (*lease.Lease, error)
	LeavingEngines() []string
	CachedPrograms() map[string][]string
	EvacuationTarget(req lease.Request) (types.Target, bool)
}

// Engines runs model calls and manages the engines' caches.
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

// Policies provides the current configuration.
type Policies interface {
	Keyring() (*seal.Keyring, error)
	Defaults() types.Defaults
	Allowed(in types.RuleInput) bool
	Priority(in types.RuleInput) int64
}

// TraceRecorder records scheduling events for operators.
type TraceRecorder interface {
	Record(event types.TraceEvent)
}

// Counts receives metrics.
type Counts interface {
	Count(name string, n int64)
	Time(name string, d time.Duration)
	Latency(name, workspace, class string, d time.Duration)
}

const (
	sweepInterval   = 10 * time.Second
	claimSweepDelay = 2 * time.Second
	// evacuateInterval is the interval between searches for caches on leaving engines.
	evacuateInterval = time.Second
)

// Prog is the service that runs programs.
type Prog struct {
	zone     string
	owner    Owner
	queue    Queue
	engines  Engines
	policies Policies
	counts   Counts
	trace    TraceRecorder
	logger   *slog.Logger

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	runs       sync.WaitGroup
}

// New creates the service for a box in zone.
func New(zone string, owner Owner, queue Queue, engines Engines, policies Policies, counts Counts, trace TraceRecorder, logger *slog.Logger) *Prog {
	p := &Prog{
		zone: zone, owner: owner, queue: queue, engines: engines, policies: policies,
		counts: counts, trace: trace, logger: logger,
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Start starts the periodic sweep and evacuation of engine caches.
func (p *Prog) Start(context.Context) error {
	p.goroutines.Go(func() { p.runEvery(sweepInterval, p.sweep) })
	p.goroutines.Go(func() { p.runEvery(evacuateInterval, p.evacuate) })
	return nil
}

func (p *Prog) runEvery(interval time.Duration, do func()) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(interval):
			do()
		}
	}
}

// Stop waits for running turns until ctx ends, then cancels the rest.
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
	p.goroutines.Wait()
	return nil
}

// Ended releases the caches of programs that the slot's owner has ended.
func (p *Prog) Ended(slot ident.Slot, programs []string) {
	p.counts.Count("prog.ended", int64(len(programs)))
	p.logger.Info("prog: programs ended", "slot", slot.String(), "count", len(programs))
	p.engines.Release(programs)
}

// Claimed sweeps caches some time after a takeover, since the previous owner may not have
// released them.
func (p *Prog) Claimed(ident.Slot) {
	select {
	case <-p.ctx.Done():
	case <-time.After(claimSweepDelay):
		p.sweep()
	}
}

// sweep releases the caches of programs in owned slots that ended or no longer exist.
func (p *Prog) sweep() {
	owned := p.owner.Owned()
	live := map[string]bool{}
	for slot := range owned {
		_, err := p.owner.Do(p.ctx, slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
			for id, prog := range s.State.Programs {
				live[id] = prog.Ended == ""
			}
			return nil, nil
		})
		if err != nil {
			delete(owned, slot)
		}
	}
	p.engines.Sweep(func(id string) bool {
		slot, err := ident.ProgramSlot(id)
		if err != nil {
			return false
		}
		_, owned := owned[slot]
		return owned && !live[id]
	})
}

// checkPlacement returns an error if the policy forbids the program's data on this box, in
// plaintext or as a checkpoint.
func (p *Prog) checkPlacement(in types.RuleInput) error {
	in.Zone = p.zone
	for _, use := range []string{"plaintext", "checkpoint"} {
		in.Use = use
		if !p.policies.Allowed(in) {
			return fault.Refuse(fault.NoAllowedPlace, "the policy does not allow the data on this box")
		}
	}
	return nil
}

func ruleInput(b types.Begin) types.RuleInput {
	return types.RuleInput{
		Workspace: b.Workspace, DataClass: b.DataClass, Kind: b.Kind, Model: b.Model,
		Depth: int64(b.Depth), Budget: b.Budget,
	}
}

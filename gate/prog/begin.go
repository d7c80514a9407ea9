package prog

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
)

// endWait bounds how long an end waits for the log.
const endWait = 2 * time.Second

// Begin creates a program whose id names a slot of this box. A repeat with the same id
// gives the same program.
func (p *Prog) Begin(ctx context.Context, begin types.Begin, parent string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(begin.ID)
	if err != nil {
		return types.ProgramState{}, err
	}
	if err := p.placed(input(begin)); err != nil {
		return types.ProgramState{}, err
	}
	cont, err := p.open(begin.Workspace, begin.Parent, parent)
	if err != nil {
		return types.ProgramState{}, err
	}
	ask := desk.BeginAsk{Begin: begin, Chunk: p.policies.Defaults().GrantChunk}
	ticket, err := p.owner.Do(ctx, slot, desk.Lazy, func(now time.Time, d *desk.Desk) ([]types.Record, error) {
		recs, err := adopt(d, cont)
		if err != nil {
			return nil, err
		}
		more, err := d.Begin(now, ask)
		return append(recs, more...), err
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	p.counts.Count("prog.begun", 1)
	p.await(ctx, ticket)
	return p.State(ctx, begin.Workspace, begin.ID, "")
}

// await gives the log its short time to confirm; what it has not confirmed by then
// travels in the continuation.
func (p *Prog) await(ctx context.Context, ticket *desk.Ticket) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(p.policies.Defaults().LogWait))
	defer stop()
	if ticket.Wait(ctx) != nil {
		p.counts.Count("prog.tails", 1)
	}
}

func adopt(d *desk.Desk, cont *types.Continuation) ([]types.Record, error) {
	if cont == nil {
		return nil, nil
	}
	return d.Adopt(*cont)
}

// State describes a program; token may bring what the log does not hold.
func (p *Prog) State(ctx context.Context, workspace, id, token string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.ProgramState{}, err
	}
	given, err := p.open(workspace, id, token)
	if err != nil {
		return types.ProgramState{}, err
	}
	var state types.ProgramState
	var cont types.Continuation
	_, err = p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, d *desk.Desk) ([]types.Record, error) {
		recs, err := adopt(d, given)
		if err != nil {
			return nil, err
		}
		prog, err := d.Program(id, workspace)
		if err != nil {
			return recs, err
		}
		state = describe(d, prog)
		cont = d.Continuation(prog, state.Turn)
		return recs, nil
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	state.Continuation, err = p.token(cont)
	return state, err
}

func describe(d *desk.Desk, prog *types.Program) types.ProgramState {
	spent, budget := d.Spent(prog)
	_, running := d.Turns[prog.Begin.ID]
	return types.ProgramState{
		ID: prog.Begin.ID, Parent: prog.Begin.Parent, Model: prog.Begin.Model, DataClass: prog.Begin.DataClass,
		Turn: len(prog.Turns), Running: running, Ended: prog.Ended, Budget: budget, Spent: spent,
		Deadline: prog.Begin.Deadline,
	}
}

// End closes a program and all below it, cancels their runs and frees their caches. It
// answers once the log holds the end: else a crash could bring the program back.
func (p *Prog) End(ctx context.Context, workspace, id string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.ProgramState{}, err
	}
	var state types.ProgramState
	var ids []string
	ticket, err := p.owner.Do(ctx, slot, desk.Urgent, func(now time.Time, d *desk.Desk) ([]types.Record, error) {
		prog, err := d.Program(id, workspace)
		if err != nil {
			return nil, err
		}
		var recs []types.Record
		ids, recs = d.End(now, id, desk.EndedByCaller)
		if len(recs) == 0 {
			// A repeat waits for a record of its own: the first may not be in the log yet.
			recs = []types.Record{{End: &types.End{Program: id, Reason: prog.Ended, At: now}}}
		}
		cancel(d, ids)
		state = describe(d, prog)
		return recs, nil
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	p.done.Go(func() { p.Ended(slot, ids) })
	ctx, stop := context.WithTimeout(ctx, endWait)
	defer stop()
	if err := ticket.Wait(ctx); err != nil {
		return types.ProgramState{}, fault.Fail(fault.LogUnavailable, "the log does not hold the end yet").WithRetryAfter(time.Second).WithCause(err)
	}
	return state, nil
}

// cancel stops the runs of ended programs.
func cancel(d *desk.Desk, ids []string) {
	for _, id := range ids {
		run, ok := d.Turns[id]
		if !ok {
			continue
		}
		if r, ok := run.Run.(*Run); ok {
			r.cancel(fault.Fail(fault.ProgramEnded, "the program was ended"))
		}
	}
}

package prog

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/desk"
)

// endConfirmTimeout is how long End waits for the log to confirm.
const endConfirmTimeout = 2 * time.Second

// Begin creates a program whose id names a slot that this box owns. Repeating the call with
// the same id returns the existing program. parent is the parent's continuation token, if any.
func (p *Prog) Begin(ctx context.Context, begin types.Begin, parent string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(begin.ID)
	if err != nil {
		return types.ProgramState{}, err
	}
	if err := p.checkPlacement(ruleInput(begin)); err != nil {
		return types.ProgramState{}, err
	}
	cont, err := p.openToken(begin.Workspace, begin.Parent, parent)
	if err != nil {
		return types.ProgramState{}, err
	}
	req := desk.BeginRequest{Begin: begin, GrantChunk: p.policies.Defaults().GrantChunk}
	ticket, err := p.owner.Do(ctx, slot, desk.Lazy, func(now time.Time, s *desk.OwnerState) ([]types.Record, error) {
		recs, err := adoptContinuation(s, cont)
		if err != nil {
			return nil, err
		}
		more, err := s.Begin(now, req)
		return append(recs, more...), err
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	p.counts.Count("prog.begun", 1)
	p.awaitConfirmation(ctx, ticket)
	return p.State(ctx, begin.Workspace, begin.ID, "")
}

// awaitConfirmation waits for the log to confirm the records, at most the configured LogWait.
// Continuations carry the records that the log has not confirmed by then.
func (p *Prog) awaitConfirmation(ctx context.Context, ticket *desk.Ticket) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(p.policies.Defaults().LogWait))
	defer stop()
	if ticket.Wait(ctx) != nil {
		p.counts.Count("prog.tails", 1)
	}
}

func adoptContinuation(s *desk.OwnerState, cont *types.Continuation) ([]types.Record, error) {
	if cont == nil {
		return nil, nil
	}
	return s.Adopt(*cont)
}

// State returns the state of a program. It first adopts the continuation in token, if any,
// which may hold records that the log lacks.
func (p *Prog) State(ctx context.Context, workspace, id, token string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.ProgramState{}, err
	}
	callerCont, err := p.openToken(workspace, id, token)
	if err != nil {
		return types.ProgramState{}, err
	}
	var state types.ProgramState
	var cont types.Continuation
	_, err = p.owner.Do(ctx, slot, desk.Finish, func(_ time.Time, s *desk.OwnerState) ([]types.Record, error) {
		recs, err := adoptContinuation(s, callerCont)
		if err != nil {
			return nil, err
		}
		prog, err := s.Program(id, workspace)
		if err != nil {
			return recs, err
		}
		state = programState(s, prog)
		cont = s.Continuation(prog, state.Turn)
		return recs, nil
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	state.Continuation, err = p.sealToken(cont)
	return state, err
}

func programState(s *desk.OwnerState, prog *types.Program) types.ProgramState {
	spent, budget := s.Spent(prog)
	_, running := s.Turns[prog.Begin.ID]
	return types.ProgramState{
		ID: prog.Begin.ID, Parent: prog.Begin.Parent, Model: prog.Begin.Model, DataClass: prog.Begin.DataClass,
		Turn: len(prog.Turns), Running: running, Ended: prog.Ended, Budget: budget, Spent: spent,
		Deadline: prog.Begin.Deadline,
	}
}

// End ends a program and all its descendants, cancels their runs and releases their caches.
// It returns once the log has confirmed the end, since a crash before that would restore the
// program.
func (p *Prog) End(ctx context.Context, workspace, id string) (types.ProgramState, error) {
	slot, err := ident.ProgramSlot(id)
	if err != nil {
		return types.ProgramState{}, err
	}
	var state types.ProgramState
	var ids []string
	ticket, err := p.owner.Do(ctx, slot, desk.Urgent, func(now time.Time, s *desk.OwnerState) ([]types.Record, error) {
		prog, err := s.Program(id, workspace)
		if err != nil {
			return nil, err
		}
		var recs []types.Record
		ids, recs = s.End(now, id, desk.EndedByCaller)
		if len(recs) == 0 {
			// A repeated call writes a record of its own to wait for, since the log may not
			// have confirmed the first one yet.
			recs = []types.Record{{End: &types.End{Program: id, Reason: prog.Ended, At: now}}}
		}
		cancelRuns(s, ids)
		state = programState(s, prog)
		return recs, nil
	})
	if err != nil {
		return types.ProgramState{}, err
	}
	p.goroutines.Go(func() { p.Ended(slot, ids) })
	ctx, stop := context.WithTimeout(ctx, endConfirmTimeout)
	defer stop()
	if err := ticket.Wait(ctx); err != nil {
		return types.ProgramState{}, fault.Fail(fault.LogUnavailable, "the log has not confirmed the program's end yet").WithRetryAfter(time.Second).WithCause(err)
	}
	return state, nil
}

// cancelRuns cancels the running turns of ended programs.
func cancelRuns(s *desk.OwnerState, ids []string) {
	for _, id := range ids {
		turnRun, ok := s.Turns[id]
		if !ok {
			continue
		}
		if r, ok := turnRun.Run.(*Run); ok {
			r.cancel(fault.Fail(fault.ProgramEnded, "the program was ended"))
		}
	}
}

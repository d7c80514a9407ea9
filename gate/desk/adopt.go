package desk

import (
	"bytes"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// Adopt takes over from a continuation what the log does not hold: programs begun and
// turns answered while it was away. It changes nothing if any part does not fit.
func (d *Desk) Adopt(cont types.Continuation) ([]types.Record, error) {
	if cont.Epoch > d.State.Epoch {
		d.Superseded = true
		return nil, fault.Refuse(fault.NotOwner, "the continuation shows a newer owner")
	}
	begins, err := d.missing(cont)
	if err != nil {
		return nil, err
	}
	prog, ok := d.State.Programs[cont.Program]
	if !ok {
		prog = begun(begins, cont.Program)
	}
	if prog == nil || prog.Begin.Workspace != cont.Workspace {
		return nil, fault.Refuse(fault.NoProgram, "no such program")
	}
	turns, err := tail(prog, cont)
	if err != nil {
		return nil, err
	}
	if run, ok := d.Turns[cont.Program]; ok && len(turns) > 0 {
		return nil, fault.Refuse(fault.TurnConflict, "another turn is running").WithHead(run.Turn - 1)
	}
	recs := d.takeBegins(begins)
	for _, turn := range turns {
		recs = append(recs, d.write(types.Record{Turn: &turn})...)
	}
	return recs, nil
}

// missing lists the programs of the token that the state lacks, roots first.
func (d *Desk) missing(cont types.Continuation) ([]types.Begin, error) {
	var out []types.Begin
	for _, b := range cont.Begins {
		if b.Workspace != cont.Workspace {
			return nil, fault.Refuse(fault.BadContinuation, "continuation mixes workspaces")
		}
		if _, ok := d.State.Programs[b.ID]; !ok {
			out = append(out, b)
		}
	}
	return out, nil
}

func begun(begins []types.Begin, id string) *types.Program {
	for _, b := range begins {
		if b.ID == id {
			return &types.Program{Begin: b, LastAt: b.Created}
		}
	}
	return nil
}

// takeBegins writes the programs. Their first grant counts as spent: the box that gave
// it may have spent it, and may still do so.
func (d *Desk) takeBegins(begins []types.Begin) []types.Record {
	var recs []types.Record
	for _, b := range begins {
		recs = append(recs, d.write(types.Record{Begin: &b})...)
		if b.ID != b.Root {
			continue
		}
		spent := types.TreeBudget{Root: b.ID, Budget: b.Budget, Granted: b.Grant, Spent: b.Grant}
		recs = append(recs, d.write(types.Record{TreeBudget: &spent})...)
		d.grant(b.ID, b.Grant)
	}
	return recs
}

// tail returns the turns that the token adds to the program's history, or why it does
// not fit. Where two owners answered the head turn, the token says from which answer its
// caller goes on; nothing before the head is ever replaced.
func tail(prog *types.Program, cont types.Continuation) ([]types.Turn, error) {
	head := fold.LastTurn(prog)
	if cont.Turn < head {
		return nil, onChain(prog, cont)
	}
	scratch := *prog
	scratch.Turns = append([]types.Turn{}, prog.Turns...)
	var out []types.Turn
	for _, turn := range cont.Tail {
		switch {
		case turn.Number < head:
			continue
		case turn.Number == head && bytes.Equal(turn.Digest, fold.LastDigest(&scratch)):
			continue
		case turn.Number == head && fold.Replaces(&scratch, turn):
			scratch.Turns = scratch.Turns[:head-1]
			turn.Replaces = true
		case fold.Extends(&scratch, turn):
			turn.Replaces = false
		default:
			return nil, fault.Refuse(fault.BadContinuation, "continuation does not extend the history").WithHead(head)
		}
		scratch.Turns = append(scratch.Turns, turn)
		out = append(out, turn)
	}
	if fold.LastTurn(&scratch) != cont.Turn || !bytes.Equal(fold.LastDigest(&scratch), cont.Digest) {
		return nil, fault.Refuse(fault.BadContinuation, "history is missing between log and continuation").WithHead(head)
	}
	return out, nil
}

// onChain checks that an old or current token lies on the program's history.
func onChain(prog *types.Program, cont types.Continuation) error {
	var at []byte
	if cont.Turn > 0 {
		at = prog.Turns[cont.Turn-1].Digest
	}
	if !bytes.Equal(at, cont.Digest) {
		return fault.Refuse(fault.BadContinuation, "continuation is of another history").WithHead(fold.LastTurn(prog))
	}
	return nil
}

// Continuation makes the token content for the program's head, or for an earlier turn.
func (d *Desk) Continuation(prog *types.Program, turn int) types.Continuation {
	cont := types.Continuation{
		Program: prog.Begin.ID, Workspace: prog.Begin.Workspace, Turn: turn,
		Epoch: d.State.Epoch, Incarnation: d.Incarnation,
	}
	if turn > 0 {
		cont.Digest = prog.Turns[turn-1].Digest
	}
	logged, inLog := d.Logged(prog.Begin.ID)
	if !inLog {
		cont.Begins = d.lineage(prog)
	}
	if turn > logged {
		cont.Tail = append(cont.Tail, prog.Turns[logged:turn]...)
	}
	return cont
}

// lineage lists the program and its ancestors, root first.
func (d *Desk) lineage(prog *types.Program) []types.Begin {
	var out []types.Begin
	for prog != nil {
		out = append([]types.Begin{prog.Begin}, out...)
		prog = d.State.Programs[prog.Begin.Parent]
	}
	return out
}

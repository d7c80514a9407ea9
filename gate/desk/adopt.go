package desk

import (
	"bytes"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// Adopt restores from a continuation the programs and turns that the log lacks, such as those
// written during an outage of the log. If any part contradicts the state, it writes nothing and
// returns an error. A newer epoch in the continuation sets Superseded.
func (s *OwnerState) Adopt(cont types.Continuation) ([]types.Record, error) {
	if cont.Epoch > s.State.Epoch {
		s.Superseded = true
		return nil, fault.Refuse(fault.NotOwner, "the continuation is from a newer owner")
	}
	begins, err := s.missingBegins(cont)
	if err != nil {
		return nil, err
	}
	prog, ok := s.State.Programs[cont.Program]
	if !ok {
		prog = programOf(begins, cont.Program)
	}
	if prog == nil || prog.Begin.Workspace != cont.Workspace {
		return nil, fault.Refuse(fault.NoProgram, "no such program")
	}
	turns, err := newTurns(prog, cont)
	if err != nil {
		return nil, err
	}
	if run, ok := s.Turns[cont.Program]; ok && len(turns) > 0 {
		return nil, fault.Refuse(fault.TurnConflict, "another turn is running").WithHead(run.Turn - 1)
	}
	recs := s.writeAdopted(begins)
	for _, turn := range turns {
		recs = append(recs, s.write(types.Record{Turn: &turn})...)
	}
	return recs, nil
}

// missingBegins returns the programs of the continuation that the state lacks, in the
// continuation's order: ancestors first.
func (s *OwnerState) missingBegins(cont types.Continuation) ([]types.Begin, error) {
	var out []types.Begin
	for _, b := range cont.Begins {
		if b.Workspace != cont.Workspace {
			return nil, fault.Refuse(fault.BadContinuation, "the continuation mixes workspaces")
		}
		if _, ok := s.State.Programs[b.ID]; !ok {
			out = append(out, b)
		}
	}
	return out, nil
}

// programOf returns the program with the given id as its begin record creates it, or nil.
func programOf(begins []types.Begin, id string) *types.Program {
	for _, b := range begins {
		if b.ID == id {
			return &types.Program{Begin: b, LastAt: b.Created}
		}
	}
	return nil
}

// writeAdopted writes the programs. The first grant of a root counts as spent: the box that
// granted it may have spent it or may still be spending it.
func (s *OwnerState) writeAdopted(begins []types.Begin) []types.Record {
	var recs []types.Record
	for _, b := range begins {
		recs = append(recs, s.write(types.Record{Begin: &b})...)
		if b.ID != b.Root {
			continue
		}
		tree := types.TreeBudget{Root: b.ID, Budget: b.Budget, Granted: b.Grant, Spent: b.Grant}
		recs = append(recs, s.write(types.Record{TreeBudget: &tree})...)
		s.confirmGrant(b.ID, b.Grant)
	}
	return recs
}

// newTurns returns the turns that the continuation adds to the program's history, or an error
// if it does not extend it. If two owners answered the last turn, the answer in the
// continuation replaces the stored one. Earlier turns are never replaced.
func newTurns(prog *types.Program, cont types.Continuation) ([]types.Turn, error) {
	lastTurn := fold.LastTurn(prog)
	if cont.Turn < lastTurn {
		return nil, checkHistory(prog, cont)
	}
	extended := *prog
	extended.Turns = append([]types.Turn{}, prog.Turns...)
	var out []types.Turn
	for _, turn := range cont.Tail {
		switch {
		case turn.Number < lastTurn:
			continue
		case turn.Number == lastTurn && bytes.Equal(turn.Digest, fold.LastDigest(&extended)):
			continue
		case turn.Number == lastTurn && fold.Replaces(&extended, turn):
			extended.Turns = extended.Turns[:lastTurn-1]
			turn.Replaces = true
		case fold.Extends(&extended, turn):
			turn.Replaces = false
		default:
			return nil, fault.Refuse(fault.BadContinuation, "the continuation does not extend the history").WithHead(lastTurn)
		}
		extended.Turns = append(extended.Turns, turn)
		out = append(out, turn)
	}
	if fold.LastTurn(&extended) != cont.Turn || !bytes.Equal(fold.LastDigest(&extended), cont.Digest) {
		return nil, fault.Refuse(fault.BadContinuation, "turns are missing between the log and the continuation").WithHead(lastTurn)
	}
	return out, nil
}

// checkHistory returns an error if a continuation of an earlier turn does not belong to the
// program's history.
func checkHistory(prog *types.Program, cont types.Continuation) error {
	var digest []byte
	if cont.Turn > 0 {
		digest = prog.Turns[cont.Turn-1].Digest
	}
	if !bytes.Equal(digest, cont.Digest) {
		return fault.Refuse(fault.BadContinuation, "the continuation belongs to a different history").WithHead(fold.LastTurn(prog))
	}
	return nil
}

// Continuation returns the continuation after the given turn of the program. It carries the
// begin records and turns that the log has not confirmed.
func (s *OwnerState) Continuation(prog *types.Program, turn int) types.Continuation {
	cont := types.Continuation{
		Program: prog.Begin.ID, Workspace: prog.Begin.Workspace, Turn: turn,
		Epoch: s.State.Epoch, Incarnation: s.Incarnation,
	}
	if turn > 0 {
		cont.Digest = prog.Turns[turn-1].Digest
	}
	logged, inLog := s.Logged(prog.Begin.ID)
	if !inLog {
		cont.Begins = s.lineage(prog)
	}
	if turn > logged {
		cont.Tail = append(cont.Tail, prog.Turns[logged:turn]...)
	}
	return cont
}

// lineage returns the begin records of the program and its ancestors, root first.
func (s *OwnerState) lineage(prog *types.Program) []types.Begin {
	var out []types.Begin
	for prog != nil {
		out = append([]types.Begin{prog.Begin}, out...)
		prog = s.State.Programs[prog.Begin.Parent]
	}
	return out
}

package desk

import (
	"bytes"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// BeginAsk asks for a new program.
type BeginAsk struct {
	Begin types.Begin
	// Chunk is the first grant, in tokens.
	Chunk int64
}

// Begin creates a program or a sub-agent. A repeat of the same id changes nothing.
func (d *Desk) Begin(now time.Time, ask BeginAsk) ([]types.Record, error) {
	b := ask.Begin
	if have, ok := d.State.Programs[b.ID]; ok {
		if have.Begin.Workspace != b.Workspace {
			return nil, fault.Refuse(fault.NoProgram, "no such program")
		}
		return nil, nil
	}
	if b.Parent == "" {
		b.Root = b.ID
		b.Grant = min(b.Budget, ask.Chunk)
		return d.begun(b), nil
	}
	parent, err := d.Program(b.Parent, b.Workspace)
	if err != nil {
		return nil, err
	}
	if err := d.open(now, parent); err != nil {
		return nil, err
	}
	if parent.Begin.Depth+1 > parent.Begin.Limits.Depth {
		return nil, fault.Refuse(fault.LimitReached, "sub-agents are nested too deep")
	}
	if parent.Children >= parent.Begin.Limits.FanOut {
		return nil, fault.Refuse(fault.LimitReached, "too many sub-agents")
	}
	b.Root = parent.Begin.Root
	b.Depth = parent.Begin.Depth + 1
	b.Budget, b.Grant = 0, 0
	b.Limits.Depth = min(b.Limits.Depth, parent.Begin.Limits.Depth)
	if b.Deadline.After(parent.Begin.Deadline) {
		b.Deadline = parent.Begin.Deadline
	}
	return d.begun(b), nil
}

// begun writes the program. Its first grant may be spent at once: whoever owns the slot
// later learns of it from this record or from the continuation, and counts it as spent.
func (d *Desk) begun(b types.Begin) []types.Record {
	if b.ID == b.Root {
		d.grant(b.Root, b.Grant)
	}
	return d.write(types.Record{Begin: &b})
}

// open reports why a program takes no work, if so.
func (d *Desk) open(now time.Time, prog *types.Program) error {
	if prog.Ended != "" {
		return fault.Refuse(fault.ProgramEnded, "program ended: "+prog.Ended)
	}
	if !now.Before(prog.Begin.Deadline) {
		return fault.Refuse(fault.DeadlineMissed, "the program's deadline has passed")
	}
	if root, ok := d.State.Programs[prog.Begin.Root]; ok && root.Ended != "" {
		return fault.Refuse(fault.ProgramEnded, "root program ended: "+root.Ended)
	}
	return nil
}

// TurnAsk asks to run a turn.
type TurnAsk struct {
	Program   string
	Workspace string
	Turn      int
	// Ask is a digest of what the caller sent.
	Ask []byte
	// Prompt is a bound on the prompt, in tokens; MaxTokens is what the caller allows.
	Prompt    int64
	MaxTokens int64
	Chunk     int64
}

// TurnStart is the decision on a turn: exactly one of Stored, Join and Run is set.
type TurnStart struct {
	Stored *types.Turn
	Join   Run
	Run    *TurnRun
	// MaxTokens is cut to what is left of the budget.
	MaxTokens int64
	Program   *types.Program
}

// StartTurn decides on a turn. The caller sets Run.Run before the loop goes on.
func (d *Desk) StartTurn(now time.Time, ask TurnAsk) (TurnStart, []types.Record, error) {
	prog, err := d.Program(ask.Program, ask.Workspace)
	if err != nil {
		return TurnStart{}, nil, err
	}
	start, known, err := d.repeat(prog, ask)
	if err != nil || known {
		return start, nil, err
	}
	if err := d.open(now, prog); err != nil {
		return TurnStart{}, nil, err
	}
	if fold.LastTurn(prog) >= prog.Begin.Limits.Turns {
		return TurnStart{}, nil, fault.Refuse(fault.LimitReached, "turn limit reached").WithHead(fold.LastTurn(prog))
	}
	return d.startTurn(prog, ask)
}

// repeat handles all but the next turn of an idle program.
func (d *Desk) repeat(prog *types.Program, ask TurnAsk) (TurnStart, bool, error) {
	head := fold.LastTurn(prog)
	if run, ok := d.Turns[ask.Program]; ok {
		if run.Turn == ask.Turn && bytes.Equal(run.Ask, ask.Ask) {
			return TurnStart{Join: run.Run, Program: prog}, true, nil
		}
		if ask.Turn > head {
			return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "another turn is running").WithHead(head)
		}
	}
	if ask.Turn >= 1 && ask.Turn <= head {
		stored := prog.Turns[ask.Turn-1]
		if !bytes.Equal(stored.RequestDigest, ask.Ask) {
			return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "the turn was answered to another request").WithHead(head)
		}
		return TurnStart{Stored: &stored, Program: prog}, true, nil
	}
	if ask.Turn != head+1 {
		return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "not the next turn").WithHead(head)
	}
	return TurnStart{}, false, nil
}

func (d *Desk) startTurn(prog *types.Program, ask TurnAsk) (TurnStart, []types.Record, error) {
	purse, err := d.purse(prog)
	if err != nil {
		return TurnStart{}, nil, err
	}
	maxTokens := min(ask.MaxTokens, d.left(purse)-ask.Prompt)
	if maxTokens < 1 {
		return TurnStart{}, nil, d.poor(purse)
	}
	need := ask.Prompt + maxTokens
	recs := d.reserve(purse, need, ask.Chunk)
	run := &TurnRun{Turn: ask.Turn, Ask: ask.Ask, Reserved: need}
	d.Turns[ask.Program] = run
	return TurnStart{Run: run, MaxTokens: maxTokens, Program: prog}, recs, nil
}

// poor is the refusal for want of money; while the log is away it may pass.
func (d *Desk) poor(purse *types.TreeBudget) error {
	if !d.LogUp && d.confirmed[purse.Root] < purse.Budget {
		return fault.Refuse(fault.LogUnavailable, "the grant is spent and the log gives no other now").WithRetryAfter(time.Second)
	}
	return fault.Refuse(fault.BudgetSpent, "the budget does not cover the call")
}

// FinishTurn ends a run with its answer; spent is what the answer cost, in tokens.
func (d *Desk) FinishTurn(program string, run *TurnRun, turn types.Turn, spent int64) ([]types.Record, error) {
	prog, ok := d.State.Programs[program]
	if !ok || d.Turns[program] != run {
		return nil, fault.Fail(fault.NotOwner, "the run is not known")
	}
	delete(d.Turns, program)
	d.settle(prog.Begin.Root, run.Reserved, min(spent, run.Reserved))
	if prog.Ended != "" {
		return nil, fault.Fail(fault.ProgramEnded, "program ended: "+prog.Ended)
	}
	if !fold.Extends(prog, turn) {
		return nil, fault.Fail(fault.Internal, "the answer does not extend the history")
	}
	turn.TreeSpent, _ = d.Spent(prog)
	return d.write(types.Record{Turn: &turn}), nil
}

// FailTurn ends a run without an answer; spent is what it may have cost, in tokens.
func (d *Desk) FailTurn(program string, run *TurnRun, spent int64) {
	prog, ok := d.State.Programs[program]
	if !ok || d.Turns[program] != run {
		return
	}
	delete(d.Turns, program)
	d.settle(prog.Begin.Root, run.Reserved, min(spent, run.Reserved))
}

// Rerun charges a broken attempt and reserves the same again for another.
func (d *Desk) Rerun(program string, run *TurnRun, spent, chunk int64) ([]types.Record, error) {
	prog, ok := d.State.Programs[program]
	if !ok || d.Turns[program] != run {
		return nil, fault.Fail(fault.NotOwner, "the run is not known")
	}
	purse, err := d.purse(prog)
	if err != nil {
		return nil, err
	}
	need := run.Reserved
	d.settle(prog.Begin.Root, need, min(spent, need))
	if d.left(purse) < need {
		run.Reserved = 0
		return nil, d.poor(purse)
	}
	return d.reserve(purse, need, chunk), nil
}

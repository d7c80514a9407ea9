package desk

import (
	"bytes"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// BeginRequest is a request to create a program.
type BeginRequest struct {
	Begin types.Begin
	// GrantChunk is the first grant, in tokens.
	GrantChunk int64
}

// Begin creates a program or a sub-agent. It changes nothing if the workspace already has a
// program of that id.
func (s *OwnerState) Begin(now time.Time, req BeginRequest) ([]types.Record, error) {
	b := req.Begin
	if existing, ok := s.State.Programs[b.ID]; ok {
		if existing.Begin.Workspace != b.Workspace {
			return nil, fault.Refuse(fault.NoProgram, "no such program")
		}
		return nil, nil
	}
	if b.Parent == "" {
		b.Root = b.ID
		b.Grant = min(b.Budget, req.GrantChunk)
		return s.writeBegin(b), nil
	}
	parent, err := s.Program(b.Parent, b.Workspace)
	if err != nil {
		return nil, err
	}
	if err := s.checkOpen(now, parent); err != nil {
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
	return s.writeBegin(b), nil
}

// writeBegin writes the begin record. A root program may spend its first grant before the
// log confirms it: a later owner finds the grant in this record or in the continuation and
// counts it as spent.
func (s *OwnerState) writeBegin(b types.Begin) []types.Record {
	if b.ID == b.Root {
		s.confirmGrant(b.Root, b.Grant)
	}
	return s.write(types.Record{Begin: &b})
}

// checkOpen returns an error if the program accepts no new work.
func (s *OwnerState) checkOpen(now time.Time, prog *types.Program) error {
	if prog.Ended != "" {
		return fault.Refuse(fault.ProgramEnded, "program ended: "+prog.Ended)
	}
	if !now.Before(prog.Begin.Deadline) {
		return fault.Refuse(fault.DeadlineMissed, "the program's deadline has passed")
	}
	if root, ok := s.State.Programs[prog.Begin.Root]; ok && root.Ended != "" {
		return fault.Refuse(fault.ProgramEnded, "root program ended: "+root.Ended)
	}
	return nil
}

// TurnRequest is a request to run a turn.
type TurnRequest struct {
	Program   string
	Workspace string
	Turn      int
	// RequestDigest is the digest of the caller's request.
	RequestDigest []byte
	// PromptTokens is an upper bound on the prompt, in tokens.
	PromptTokens int64
	// MaxTokens is the caller's limit on the answer.
	MaxTokens int64
	// GrantChunk is the minimum increase of a grant, in tokens. The budget limits it.
	GrantChunk int64
}

// TurnStart is the decision on a turn request. Exactly one of Stored (the turn was
// answered), Join (it is in flight) and Run (it is to be run) is set.
type TurnStart struct {
	Stored *types.Turn
	Join   Run
	Run    *TurnRun
	// MaxTokens limits the answer of Run: the caller's limit, reduced to the available budget.
	MaxTokens int64
	Program   *types.Program
}

// StartTurn decides on a turn request. If Run is set, the calling Op must set Run.Run
// before it returns.
func (s *OwnerState) StartTurn(now time.Time, req TurnRequest) (TurnStart, []types.Record, error) {
	prog, err := s.Program(req.Program, req.Workspace)
	if err != nil {
		return TurnStart{}, nil, err
	}
	start, known, err := s.existingTurn(prog, req)
	if err != nil || known {
		return start, nil, err
	}
	if err := s.checkOpen(now, prog); err != nil {
		return TurnStart{}, nil, err
	}
	if fold.LastTurn(prog) >= prog.Begin.Limits.Turns {
		return TurnStart{}, nil, fault.Refuse(fault.LimitReached, "turn limit reached").WithHead(fold.LastTurn(prog))
	}
	return s.reserveTurn(prog, req)
}

// existingTurn answers requests for turns that are stored or in flight, and refuses those
// that conflict with the history. It reports false for the next turn of an idle program.
func (s *OwnerState) existingTurn(prog *types.Program, req TurnRequest) (TurnStart, bool, error) {
	lastTurn := fold.LastTurn(prog)
	if run, ok := s.Turns[req.Program]; ok {
		if run.Turn == req.Turn && bytes.Equal(run.RequestDigest, req.RequestDigest) {
			return TurnStart{Join: run.Run, Program: prog}, true, nil
		}
		if req.Turn > lastTurn {
			return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "another turn is running").WithHead(lastTurn)
		}
	}
	if req.Turn >= 1 && req.Turn <= lastTurn {
		stored := prog.Turns[req.Turn-1]
		if !bytes.Equal(stored.RequestDigest, req.RequestDigest) {
			return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "the turn answered a different request").WithHead(lastTurn)
		}
		return TurnStart{Stored: &stored, Program: prog}, true, nil
	}
	if req.Turn != lastTurn+1 {
		return TurnStart{}, false, fault.Refuse(fault.TurnConflict, "the turn is not the next one").WithHead(lastTurn)
	}
	return TurnStart{}, false, nil
}

// reserveTurn reserves the tokens of a new turn and registers its run.
func (s *OwnerState) reserveTurn(prog *types.Program, req TurnRequest) (TurnStart, []types.Record, error) {
	tree, err := s.treeBudget(prog)
	if err != nil {
		return TurnStart{}, nil, err
	}
	maxTokens := min(req.MaxTokens, s.available(tree)-req.PromptTokens)
	if maxTokens < 1 {
		return TurnStart{}, nil, s.budgetError(tree)
	}
	need := req.PromptTokens + maxTokens
	recs := s.reserve(tree, need, req.GrantChunk)
	run := &TurnRun{Turn: req.Turn, RequestDigest: req.RequestDigest, Reserved: need}
	s.Turns[req.Program] = run
	return TurnStart{Run: run, MaxTokens: maxTokens, Program: prog}, recs, nil
}

// budgetError returns the refusal of work that the budget does not cover. It is temporary if
// only an unavailable log keeps the grant from growing.
func (s *OwnerState) budgetError(tree *types.TreeBudget) error {
	if !s.LogAvailable && s.confirmed[tree.Root] < tree.Budget {
		return fault.Refuse(fault.LogUnavailable, "the grant is spent and the log is unavailable").WithRetryAfter(time.Second)
	}
	return fault.Refuse(fault.BudgetSpent, "the budget does not cover the call")
}

// FinishTurn ends a run with its answer and charges spent tokens, at most the reservation.
// An answer that comes after the program's end is charged but not stored.
func (s *OwnerState) FinishTurn(program string, run *TurnRun, turn types.Turn, spent int64) ([]types.Record, error) {
	prog, ok := s.State.Programs[program]
	if !ok || s.Turns[program] != run {
		return nil, fault.Fail(fault.NotOwner, "the run is not known")
	}
	delete(s.Turns, program)
	s.settle(prog.Begin.Root, run.Reserved, min(spent, run.Reserved))
	if prog.Ended != "" {
		return nil, fault.Fail(fault.ProgramEnded, "program ended: "+prog.Ended)
	}
	if !fold.Extends(prog, turn) {
		return nil, fault.Fail(fault.Internal, "the answer does not extend the history")
	}
	turn.TreeSpent, _ = s.Spent(prog)
	return s.write(types.Record{Turn: &turn}), nil
}

// FailTurn ends a run without an answer and charges spent, the most tokens that it may have
// used, up to the reservation.
func (s *OwnerState) FailTurn(program string, run *TurnRun, spent int64) {
	prog, ok := s.State.Programs[program]
	if !ok || s.Turns[program] != run {
		return
	}
	delete(s.Turns, program)
	s.settle(prog.Begin.Root, run.Reserved, min(spent, run.Reserved))
}

// RetryTurn charges a failed attempt of a run and reserves the same number of tokens for the
// next one. If the budget does not cover that, the run's reservation becomes 0.
func (s *OwnerState) RetryTurn(program string, run *TurnRun, spent, chunk int64) ([]types.Record, error) {
	prog, ok := s.State.Programs[program]
	if !ok || s.Turns[program] != run {
		return nil, fault.Fail(fault.NotOwner, "the run is not known")
	}
	tree, err := s.treeBudget(prog)
	if err != nil {
		return nil, err
	}
	need := run.Reserved
	s.settle(prog.Begin.Root, need, min(spent, need))
	if s.available(tree) < need {
		run.Reserved = 0
		return nil, s.budgetError(tree)
	}
	return s.reserve(tree, need, chunk), nil
}

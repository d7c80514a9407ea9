package desk

import (
	"bytes"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// CallRequest is a request to run a call. Price is in tokens.
type CallRequest struct {
	Intent types.Intent
	Price  int64
	// GrantChunk is the minimum increase of a grant, in tokens. The budget limits it.
	GrantChunk int64
}

// CallStart is the decision on a call request. Exactly one of Stored (its outcome is known),
// Join (it is in flight), Unknown and Run (it is to be run) is set.
type CallStart struct {
	Stored *types.Outcome
	Join   Run
	// Unknown is the intent of a call that may have run and whose outcome is not known.
	Unknown *types.Intent
	Run     *CallRun
}

// StartCall decides on a request for a call that must not be repeated. A key that has an
// intent never gets a second one.
func (s *OwnerState) StartCall(now time.Time, req CallRequest) (CallStart, []types.Record, error) {
	start, known, err := s.existingCall(req.Intent)
	if err != nil || known {
		return start, nil, err
	}
	root, recs, err := s.reservePrice(now, req)
	if err != nil {
		return CallStart{}, nil, err
	}
	run := &CallRun{Intent: req.Intent, Reserved: req.Price, Root: root}
	s.Calls[req.Intent.Key] = run
	recs = append(recs, s.write(types.Record{Intent: &req.Intent})...)
	return CallStart{Run: run}, recs, nil
}

// existingCall returns the decision for a key that has an intent, and reports whether it has.
func (s *OwnerState) existingCall(in types.Intent) (CallStart, bool, error) {
	key, ok := s.State.Keys[in.Key]
	if !ok {
		return CallStart{}, false, nil
	}
	if key.Intent.Workspace != in.Workspace || key.Intent.Service != in.Service || !bytes.Equal(key.Intent.RequestDigest, in.RequestDigest) {
		return CallStart{}, false, fault.Refuse(fault.KeyReused, "the key was used for a different request")
	}
	if key.Outcome != nil && !key.Outcome.Unknown {
		return CallStart{Stored: key.Outcome}, true, nil
	}
	if run, ok := s.Calls[in.Key]; ok {
		return CallStart{Join: run.Run}, true, nil
	}
	return CallStart{Unknown: &key.Intent}, true, nil
}

// reservePrice reserves the price from the budget of the call's program, if it has one. It
// returns the root program that pays, or "".
func (s *OwnerState) reservePrice(now time.Time, req CallRequest) (string, []types.Record, error) {
	if req.Intent.Program == "" {
		return "", nil, nil
	}
	prog, err := s.Program(req.Intent.Program, req.Intent.Workspace)
	if err != nil {
		return "", nil, err
	}
	if err := s.checkOpen(now, prog); err != nil {
		return "", nil, err
	}
	tree, err := s.treeBudget(prog)
	if err != nil {
		return "", nil, err
	}
	if s.available(tree) < req.Price {
		return "", nil, s.budgetError(tree)
	}
	return tree.Root, s.reserve(tree, req.Price, req.GrantChunk), nil
}

// FinishCall ends a run with its outcome. A call that did not run costs nothing.
func (s *OwnerState) FinishCall(run *CallRun, out types.Outcome) []types.Record {
	if s.Calls[run.Intent.Key] != run {
		return nil
	}
	delete(s.Calls, run.Intent.Key)
	spent := run.Reserved
	if out.NotRun {
		spent = 0
	}
	if run.Root != "" {
		s.settle(run.Root, run.Reserved, spent)
	}
	return s.write(types.Record{Outcome: &out})
}

// ResolveCall writes the outcome of a call that was unknown until a probe found it.
func (s *OwnerState) ResolveCall(out types.Outcome) []types.Record {
	key, ok := s.State.Keys[out.Key]
	if !ok || key.Intent.Attempt != out.Attempt {
		return nil
	}
	if key.Outcome != nil && !key.Outcome.Unknown {
		return nil
	}
	return s.write(types.Record{Outcome: &out})
}

// ChargeCall charges the price of a repeatable call to its program, if it has one, when the
// call starts.
func (s *OwnerState) ChargeCall(now time.Time, req CallRequest) ([]types.Record, error) {
	root, recs, err := s.reservePrice(now, req)
	if err != nil || root == "" {
		return recs, err
	}
	s.settle(root, req.Price, req.Price)
	return recs, nil
}

package desk

import (
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// Run is work in flight that later callers may join. The service that runs the work
// implements it.
type Run interface {
	// Attempt identifies the run.
	Attempt() string
}

// TurnRun is a model call in flight.
type TurnRun struct {
	Run  Run
	Turn int
	// RequestDigest is the digest of the caller's request.
	RequestDigest []byte
	// Reserved is in tokens and counts against the tree's budget until the run finishes.
	Reserved int64
}

// CallRun is a call in flight that must not be repeated.
type CallRun struct {
	Run      Run
	Intent   types.Intent
	Reserved int64 // in tokens
	// Root is the root program whose budget pays, or empty if the call has no program.
	Root string
}

// OwnerState is the in-memory state of a slot's owner. State includes the records that were
// handed to the writer and that the log has not confirmed yet.
type OwnerState struct {
	State *fold.State
	// Incarnation identifies this run of the owner's process.
	Incarnation string
	// Turns holds the turn in flight of each program, by program id. There is at most one.
	Turns map[string]*TurnRun
	// Calls holds the call in flight of each idempotency key. There is at most one.
	Calls map[string]*CallRun
	// LogAvailable is false from a failed append until the next one succeeds.
	LogAvailable bool
	// Superseded is set once a continuation carries a newer epoch. The owner then gives up the slot.
	Superseded bool

	// reserved is the number of tokens reserved for work in flight, by root program.
	reserved map[string]int64
	// confirmed is the confirmed grant in tokens, by root program. Work is dispatched only
	// while it covers all that is spent and reserved; see Covered.
	confirmed map[string]int64
	// logged is the number of confirmed turns by program. Programs that the log has not
	// confirmed are absent.
	logged map[string]int
	// lastAppended is the time at which each program's or key's first record or last snapshot was
	// appended. Snapshot uses it.
	lastAppended map[string]time.Time
}

// New returns the state of an owner that has just claimed the slot.
func New(state *fold.State, incarnation string) *OwnerState {
	s := &OwnerState{
		State: state, Incarnation: incarnation, LogAvailable: true,
		Turns: map[string]*TurnRun{}, Calls: map[string]*CallRun{},
		reserved: map[string]int64{}, confirmed: map[string]int64{},
		logged: map[string]int{}, lastAppended: map[string]time.Time{},
	}
	for id, prog := range state.Programs {
		s.logged[id] = fold.LastTurn(prog)
	}
	for root, tree := range state.TreeBudgets {
		s.confirmed[root] = tree.Granted
	}
	return s
}

// Confirm marks the records as confirmed by the log.
func (s *OwnerState) Confirm(now time.Time, recs []types.Record) {
	for _, rec := range recs {
		switch {
		case rec.Begin != nil:
			s.logged[rec.Begin.ID] = max(s.logged[rec.Begin.ID], 0)
			s.confirmGrant(rec.Begin.Root, rec.Begin.Grant)
			s.lastAppended[rec.Begin.ID] = now
		case rec.Turn != nil:
			s.logged[rec.Turn.Program] = max(s.logged[rec.Turn.Program], rec.Turn.Number)
		case rec.Grant != nil:
			s.confirmGrant(rec.Grant.Root, rec.Grant.Total)
		case rec.Program != nil:
			s.lastAppended[rec.Program.Begin.ID] = now
		case rec.Intent != nil:
			s.lastAppended[keyItemID(rec.Intent.Key)] = now
		case rec.KeyState != nil:
			s.lastAppended[keyItemID(rec.KeyState.Intent.Key)] = now
		}
	}
}

// confirmGrant raises the confirmed grant of a root program to total tokens; it never lowers it.
func (s *OwnerState) confirmGrant(root string, total int64) {
	s.confirmed[root] = max(s.confirmed[root], total)
}

// keyItemID returns the id under which lastAppended holds an idempotency key.
func keyItemID(key string) string {
	return "key " + key
}

// Logged returns the number of the program's confirmed turns, and whether the program
// itself is confirmed.
func (s *OwnerState) Logged(program string) (int, bool) {
	n, ok := s.logged[program]
	return n, ok
}

// Program returns a program of the workspace. A program of another workspace is reported
// as not found, so that its existence is not disclosed.
func (s *OwnerState) Program(id, workspace string) (*types.Program, error) {
	prog, ok := s.State.Programs[id]
	if !ok || prog.Begin.Workspace != workspace {
		return nil, fault.Refuse(fault.NoProgram, "no such program")
	}
	return prog, nil
}

// write applies records to the state and returns them, to be appended to the log.
func (s *OwnerState) write(recs ...types.Record) []types.Record {
	for _, rec := range recs {
		s.State.ApplyRecord(rec)
	}
	return recs
}

package fold

import (
	"bytes"
	"encoding/json"

	"mulleingate.dev/base/types"
)

// Result reports how an entry was handled.
type Result int

const (
	// Applied means that the entry's records were applied.
	Applied Result = iota
	// Claimed means that the entry is a claim and started a new epoch.
	Claimed
	// Stale means that the entry belongs to an older epoch and was ignored.
	Stale
	// Duplicate means that the entry was applied before and was ignored.
	Duplicate
	// Malformed means that the entry could not be decoded.
	Malformed
)

// State is the state of one slot after the entries applied so far.
type State struct {
	// NextOffset is the offset of the next entry to read.
	NextOffset int64
	// Epoch is the offset of the newest claim. It never decreases.
	Epoch int64
	// Owner is the newest claim, or zero if the log no longer retains it.
	Owner types.Claim
	// Released reports whether the owner released the slot.
	Released bool
	// Seq is the sequence number of the last entry of Epoch that was applied.
	Seq int64
	// Programs holds the programs by id, TreeBudgets the budgets by the id of the root program, and
	// Keys the idempotency keys.
	Programs    map[string]*types.Program
	TreeBudgets map[string]*types.TreeBudget
	Keys        map[string]*types.KeyState
}

// New returns the state of an empty stream.
func New() *State {
	return &State{
		Programs:    map[string]*types.Program{},
		TreeBudgets: map[string]*types.TreeBudget{},
		Keys:        map[string]*types.KeyState{},
	}
}

// ApplyLogEntry decodes one log entry and applies it.
func (s *State) ApplyLogEntry(entry types.LogEntry) Result {
	s.NextOffset = max(s.NextOffset, entry.Offset+1)
	var e types.Entry
	if json.Unmarshal(entry.Data, &e) != nil {
		return Malformed
	}
	return s.Apply(entry.Offset, e)
}

// Apply applies one entry. It ignores entries of an older epoch than the newest claim's
// and duplicates of entries that were already applied.
func (s *State) Apply(offset int64, e types.Entry) Result {
	if e.Claim != nil {
		s.applyClaim(offset, *e.Claim)
		return Claimed
	}
	if e.Epoch < s.Epoch {
		return Stale
	}
	if e.Epoch > s.Epoch {
		s.startUnclaimedEpoch(e.Epoch)
	}
	if e.Seq <= s.Seq {
		return Duplicate
	}
	s.Seq = e.Seq
	for _, rec := range e.Records {
		s.ApplyRecord(rec)
	}
	return Applied
}

// startUnclaimedEpoch starts an epoch whose claim the log no longer retains.
func (s *State) startUnclaimedEpoch(epoch int64) {
	s.Epoch = epoch
	s.Owner = types.Claim{}
	s.Seq = 0
}

// applyClaim starts the epoch of a new owner. All granted tokens count as spent, since the
// previous owner may have spent them.
func (s *State) applyClaim(offset int64, c types.Claim) {
	s.Epoch = offset
	s.Owner = c
	s.Released = false
	s.Seq = 0
	for _, tree := range s.TreeBudgets {
		tree.Spent = tree.Granted
	}
}

// ApplyRecord applies one record of the current epoch.
func (s *State) ApplyRecord(rec types.Record) {
	switch {
	case rec.Begin != nil:
		s.applyBegin(*rec.Begin)
	case rec.Turn != nil:
		s.applyTurn(*rec.Turn)
	case rec.Grant != nil:
		s.applyGrant(*rec.Grant)
	case rec.Settle != nil:
		s.applySettle(*rec.Settle)
	case rec.End != nil:
		s.applyEnd(*rec.End)
	case rec.Intent != nil:
		s.applyIntent(*rec.Intent)
	case rec.Outcome != nil:
		s.applyOutcome(*rec.Outcome)
	case rec.Release != nil:
		s.Released = true
	case rec.Program != nil:
		s.applySnapshot(*rec.Program)
	case rec.TreeBudget != nil:
		tree := *rec.TreeBudget
		s.TreeBudgets[tree.Root] = &tree
	case rec.KeyState != nil:
		key := *rec.KeyState
		s.Keys[key.Intent.Key] = &key
	}
}

func (s *State) applyBegin(b types.Begin) {
	if _, ok := s.Programs[b.ID]; ok {
		return
	}
	s.Programs[b.ID] = &types.Program{Begin: b, LastAt: b.Created}
	if b.ID == b.Root {
		s.TreeBudgets[b.ID] = &types.TreeBudget{Root: b.ID, Budget: b.Budget, Granted: min(b.Grant, b.Budget)}
	}
	if parent, ok := s.Programs[b.Parent]; ok {
		parent.Children++
	}
}

func (s *State) applyTurn(t types.Turn) {
	prog, ok := s.Programs[t.Program]
	if !ok {
		return
	}
	switch {
	case t.Replaces && Replaces(prog, t):
		prog.Turns = append(prog.Turns[:len(prog.Turns)-1:len(prog.Turns)-1], t)
	case Extends(prog, t):
		prog.Turns = append(prog.Turns, t)
	default:
		return
	}
	prog.LastAt = t.At
	if tree, ok := s.TreeBudgets[prog.Begin.Root]; ok {
		tree.Spent = min(max(tree.Spent, t.TreeSpent), tree.Granted)
	}
}

func (s *State) applyGrant(g types.Grant) {
	if tree, ok := s.TreeBudgets[g.Root]; ok {
		tree.Granted = min(max(tree.Granted, g.Total), tree.Budget)
	}
}

func (s *State) applySettle(settle types.Settle) {
	tree, ok := s.TreeBudgets[settle.Root]
	if ok && settle.Spent <= tree.Granted {
		tree.Granted = settle.Spent
		tree.Spent = settle.Spent
	}
}

func (s *State) applyEnd(e types.End) {
	if prog, ok := s.Programs[e.Program]; ok && prog.Ended == "" {
		prog.Ended = e.Reason
		prog.LastAt = e.At
	}
}

func (s *State) applyIntent(i types.Intent) {
	if _, ok := s.Keys[i.Key]; !ok {
		s.Keys[i.Key] = &types.KeyState{Intent: i, Epoch: s.Epoch}
	}
}

func (s *State) applyOutcome(o types.Outcome) {
	key, ok := s.Keys[o.Key]
	if !ok || key.Intent.Attempt != o.Attempt {
		return
	}
	if o.NotRun {
		delete(s.Keys, o.Key)
		return
	}
	key.Outcome = &o
}

// applySnapshot applies a program's snapshot. A program that the state already has keeps its
// turns; any other is added without turns.
func (s *State) applySnapshot(snapshot types.Program) {
	current, ok := s.Programs[snapshot.Begin.ID]
	if !ok {
		snapshot.Turns = nil
		s.Programs[snapshot.Begin.ID] = &snapshot
		return
	}
	current.Ended = snapshot.Ended
	current.Children = max(current.Children, snapshot.Children)
	current.LastAt = snapshot.LastAt
}

// Extends reports whether the turn is the next one of the program and its digest continues the
// program's hash chain.
func Extends(prog *types.Program, t types.Turn) bool {
	if t.Program != prog.Begin.ID || t.Number != LastTurn(prog)+1 {
		return false
	}
	return bytes.Equal(t.Digest, TurnDigest(prog.Begin, t, LastDigest(prog)))
}

// Replaces reports whether the turn is an alternative to the program's last answered turn:
// it has the same number and follows the same previous turn.
func Replaces(prog *types.Program, t types.Turn) bool {
	last := LastTurn(prog)
	if last == 0 || t.Program != prog.Begin.ID || t.Number != last {
		return false
	}
	prefix := *prog
	prefix.Turns = prog.Turns[:last-1]
	return bytes.Equal(t.Digest, TurnDigest(prog.Begin, t, LastDigest(&prefix)))
}

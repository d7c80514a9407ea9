package fold

import (
	"bytes"
	"encoding/json"

	"mulleingate.dev/base/types"
)

// Result says what became of an entry.
type Result int

// The verdicts.
const (
	Applied Result = iota
	Claimed
	Stale
	Duplicate
	Malformed
)

// State is the folded state of one slot.
type State struct {
	// NextOffset is the offset to read from.
	NextOffset int64
	// Epoch is the offset of the newest claim; it never falls.
	Epoch int64
	// Owner made the newest claim; it is zero if that claim is no longer retained.
	Owner types.Claim
	// Released says that the owner gave the slot up.
	Released bool
	// Seq is the newest entry of Epoch that was applied.
	Seq      int64
	Programs map[string]*types.Program
	Purses   map[string]*types.TreeBudget
	Keys     map[string]*types.KeyState
}

// New makes the state of an empty stream.
func New() *State {
	return &State{
		Programs: map[string]*types.Program{},
		Purses:   map[string]*types.TreeBudget{},
		Keys:     map[string]*types.KeyState{},
	}
}

// ApplyLogEntry folds one raw entry.
func (s *State) ApplyLogEntry(entry types.LogEntry) Result {
	s.NextOffset = max(s.NextOffset, entry.Offset+1)
	var e types.Entry
	if json.Unmarshal(entry.Data, &e) != nil {
		return Malformed
	}
	return s.Apply(entry.Offset, e)
}

// Apply folds one entry. Entries of an epoch older than the newest claim are ignored,
// and so are copies of an entry that was applied.
func (s *State) Apply(offset int64, e types.Entry) Result {
	if e.Claim != nil {
		s.claim(offset, *e.Claim)
		return Claimed
	}
	if e.Epoch < s.Epoch {
		return Stale
	}
	if e.Epoch > s.Epoch {
		s.truncated(e.Epoch)
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

// truncated takes an epoch over whose claim is no longer retained.
func (s *State) truncated(epoch int64) {
	s.Epoch = epoch
	s.Owner = types.Claim{}
	s.Seq = 0
}

// claim makes everything granted count as spent: the owner before may have spent it.
func (s *State) claim(offset int64, c types.Claim) {
	s.Epoch = offset
	s.Owner = c
	s.Released = false
	s.Seq = 0
	for _, purse := range s.Purses {
		purse.Spent = purse.Granted
	}
}

// ApplyRecord applies one record of the epoch in force.
func (s *State) ApplyRecord(rec types.Record) {
	switch {
	case rec.Begin != nil:
		s.begin(*rec.Begin)
	case rec.Turn != nil:
		s.turn(*rec.Turn)
	case rec.Grant != nil:
		s.grant(*rec.Grant)
	case rec.Settle != nil:
		s.settle(*rec.Settle)
	case rec.End != nil:
		s.end(*rec.End)
	case rec.Intent != nil:
		s.intent(*rec.Intent)
	case rec.Outcome != nil:
		s.outcome(*rec.Outcome)
	case rec.Release != nil:
		s.Released = true
	case rec.Program != nil:
		s.program(*rec.Program)
	case rec.TreeBudget != nil:
		purse := *rec.TreeBudget
		s.Purses[purse.Root] = &purse
	case rec.KeyState != nil:
		key := *rec.KeyState
		s.Keys[key.Intent.Key] = &key
	}
}

func (s *State) begin(b types.Begin) {
	if _, ok := s.Programs[b.ID]; ok {
		return
	}
	s.Programs[b.ID] = &types.Program{Begin: b, LastAt: b.Created}
	if b.ID == b.Root {
		s.Purses[b.ID] = &types.TreeBudget{Root: b.ID, Budget: b.Budget, Granted: min(b.Grant, b.Budget)}
	}
	if parent, ok := s.Programs[b.Parent]; ok {
		parent.Children++
	}
}

func (s *State) turn(t types.Turn) {
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
	if purse, ok := s.Purses[prog.Begin.Root]; ok {
		purse.Spent = min(max(purse.Spent, t.TreeSpent), purse.Granted)
	}
}

func (s *State) grant(g types.Grant) {
	if purse, ok := s.Purses[g.Root]; ok {
		purse.Granted = min(max(purse.Granted, g.Total), purse.Budget)
	}
}

func (s *State) settle(set types.Settle) {
	purse, ok := s.Purses[set.Root]
	if ok && set.Spent <= purse.Granted {
		purse.Granted = set.Spent
		purse.Spent = set.Spent
	}
}

func (s *State) end(e types.End) {
	if prog, ok := s.Programs[e.Program]; ok && prog.Ended == "" {
		prog.Ended = e.Reason
		prog.LastAt = e.At
	}
}

func (s *State) intent(i types.Intent) {
	if _, ok := s.Keys[i.Key]; !ok {
		s.Keys[i.Key] = &types.KeyState{Intent: i, Epoch: s.Epoch}
	}
}

func (s *State) outcome(o types.Outcome) {
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

// program takes a snapshot; turns that are known stay.
func (s *State) program(snap types.Program) {
	have, ok := s.Programs[snap.Begin.ID]
	if !ok {
		snap.Turns = nil
		s.Programs[snap.Begin.ID] = &snap
		return
	}
	have.Ended = snap.Ended
	have.Children = max(have.Children, snap.Children)
	have.LastAt = snap.LastAt
}

// Extends reports whether the turn is the next link of the program's hash chain.
func Extends(prog *types.Program, t types.Turn) bool {
	if t.Program != prog.Begin.ID || t.Number != LastTurn(prog)+1 {
		return false
	}
	return bytes.Equal(t.Digest, TurnDigest(prog.Begin, t, LastDigest(prog)))
}

// Replaces reports whether the turn is another answer to the program's head turn.
func Replaces(prog *types.Program, t types.Turn) bool {
	head := LastTurn(prog)
	if head == 0 || t.Program != prog.Begin.ID || t.Number != head {
		return false
	}
	before := *prog
	before.Turns = prog.Turns[:head-1]
	return bytes.Equal(t.Digest, TurnDigest(prog.Begin, t, LastDigest(&before)))
}

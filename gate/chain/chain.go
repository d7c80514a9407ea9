package chain

import (
	"slices"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// clockSlack is how much longer than promised a program is kept, since the clocks of
// boxes differ by seconds.
const clockSlack = 5 * time.Second

// Turn is an answered turn.
type Turn struct {
	id, program string
	// previous is empty at the start of a line.
	previous string
	keep     time.Time
	tokens   int
	// Text is what later turns go on from: the input, then the data of each event with a
	// line feed behind.
	Text []byte

	// Ran names the replica that ran the turn; empty if this owner did not see it run.
	Ran string
	// Cached is the number of tokens that the replica then held of the chain.
	Cached int
}

// program is what is kept of one program.
type program struct {
	turns map[string]*Turn
	// spent is the tokens of the answered turns.
	spent int
	// open holds the most that a turn may spend which began to run and has no whole answer.
	open map[string]int
	// running counts the open turns that this owner has under way.
	running int
	keep    time.Time
}

// State is what an owner knows of one slot. It is not safe for use by many goroutines.
type State struct {
	programs map[string]*program
}

// New makes an empty state.
func New() *State {
	return &State{programs: map[string]*program{}}
}

// Programs counts the programs that are kept.
func (s *State) Programs() int {
	return len(s.programs)
}

// Apply folds a record of the log. Records of one key must come in their order.
func (s *State) Apply(rec work.Record) error {
	if len(rec.Key) < 2 {
		return fault.Fail(fault.Protocol, "record without a key in the log")
	}
	id := rec.Key[1:]
	switch rec.Key[0] {
	case turnKey:
		return s.applyTurn(id, rec.Value)
	case startKey:
		return s.applyStart(id, rec.Value)
	}
	return nil
}

func (s *State) applyTurn(id string, raw []byte) error {
	if len(raw) == 0 {
		s.dropTurn(id)
		return nil
	}
	t, err := decodeTurn(id, raw)
	if err != nil {
		return err
	}
	s.keepTurn(t)
	return nil
}

func (s *State) applyStart(id string, raw []byte) error {
	if len(raw) == 0 {
		s.dropStart(id)
		return nil
	}
	name, keep, most, err := decodeStart(raw)
	if err != nil {
		return err
	}
	prog := s.program(name)
	prog.open[id] = most
	prog.keep = later(prog.keep, keep)
	return nil
}

func (s *State) program(name string) *program {
	prog, ok := s.programs[name]
	if !ok {
		prog = &program{turns: map[string]*Turn{}, open: map[string]int{}}
		s.programs[name] = prog
	}
	return prog
}

func (s *State) keepTurn(t *Turn) {
	prog := s.program(t.program)
	if have, ok := prog.turns[t.id]; ok {
		prog.spent -= have.tokens
	}
	prog.turns[t.id] = t
	prog.spent += t.tokens
	prog.keep = later(prog.keep, t.keep)
}

// dropTurn and dropStart look through all programs: drops of others' records are only met
// while a slot is read back.
func (s *State) dropTurn(id string) {
	for name, prog := range s.programs {
		if t, ok := prog.turns[id]; ok {
			prog.spent -= t.tokens
			delete(prog.turns, id)
			s.forget(name, prog)
			return
		}
	}
}

func (s *State) dropStart(id string) {
	for name, prog := range s.programs {
		if _, ok := prog.open[id]; ok {
			delete(prog.open, id)
			s.forget(name, prog)
			return
		}
	}
}

// forget removes a program of which nothing is left.
func (s *State) forget(name string, prog *program) {
	if len(prog.turns) == 0 && len(prog.open) == 0 {
		delete(s.programs, name)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Has reports whether the program's turn is kept.
func (s *State) Has(name, id string) bool {
	prog, ok := s.programs[name]
	return ok && prog.turns[id] != nil
}

// Line returns the turns from the oldest to the one named. An empty id is the start of a
// line and has none.
func (s *State) Line(name, id string) ([]*Turn, error) {
	if id == "" {
		return nil, nil
	}
	prog, ok := s.programs[name]
	if !ok {
		return nil, fault.Refuse(fault.NoTurn, "the turn to go on from is not kept")
	}
	var back []*Turn
	for at := id; at != ""; {
		t, ok := prog.turns[at]
		if !ok || len(back) > len(prog.turns) {
			return nil, fault.Refuse(fault.NoTurn, "the turn to go on from is not kept")
		}
		back = append(back, t)
		at = t.previous
	}
	slices.Reverse(back)
	return back, nil
}

// Find returns the text of the chain that ends with the turn, whatever program it is of.
func (s *State) Find(id string) ([]byte, bool) {
	for name, prog := range s.programs {
		if prog.turns[id] == nil {
			continue
		}
		line, err := s.Line(name, id)
		if err != nil {
			return nil, false
		}
		var text []byte
		for _, t := range line {
			text = append(text, t.Text...)
		}
		return text, true
	}
	return nil, false
}

// Import keeps a copy of a turn of another program, with all before it, for a program that
// goes on from there. Its tokens are the other program's.
func (s *State) Import(now time.Time, name, id string, text []byte, retention time.Duration) work.Record {
	t := &Turn{id: id, program: name, keep: now.Add(retention), Text: text}
	s.keepTurn(t)
	return turnRecord(t)
}

// Open is a turn under way.
type Open struct {
	ID, Program, Previous string
	// Most is the tokens that its answer may hold.
	Most int
	// Retention is how long it is kept after its end.
	Retention time.Duration
}

// Start reserves what the turn may spend and returns the record that says so. A negative
// budget has no bound.
func (s *State) Start(now time.Time, o Open, budget int) (work.Record, error) {
	prog := s.program(o.Program)
	if budget >= 0 && s.committed(prog)+o.Most > budget {
		s.forget(o.Program, prog)
		return work.Record{}, fault.Refuse(fault.BudgetSpent, "the program's budget does not hold another turn")
	}
	prog.open[o.ID] = o.Most
	prog.running++
	prog.keep = later(prog.keep, now.Add(o.Retention))
	return startRecord(o.ID, o.Program, o.Most, now.Add(o.Retention)), nil
}

// committed is what the program has spent and what its open turns may spend.
func (s *State) committed(prog *program) int {
	sum := prog.spent
	for _, most := range prog.open {
		sum += most
	}
	return sum
}

// Cancel ends a turn that ran nowhere and returns the record that says so.
func (s *State) Cancel(o Open) work.Record {
	if prog, ok := s.programs[o.Program]; ok {
		prog.running--
		delete(prog.open, o.ID)
		s.forget(o.Program, prog)
	}
	return work.Record{Key: string(startKey) + o.ID}
}

// Break ends a turn without a whole answer. What it may have spent stays counted.
func (s *State) Break(o Open) {
	if prog, ok := s.programs[o.Program]; ok {
		prog.running--
	}
}

// Finish ends a turn with a whole answer and returns the records that say so.
func (s *State) Finish(now time.Time, o Open, tokens int, text []byte) (*Turn, []work.Record) {
	t := &Turn{
		id: o.ID, program: o.Program, previous: o.Previous,
		keep: now.Add(o.Retention), tokens: tokens, Text: text,
	}
	prog := s.program(o.Program)
	prog.running--
	delete(prog.open, o.ID)
	s.keepTurn(t)
	return t, []work.Record{turnRecord(t), {Key: string(startKey) + o.ID}}
}

// Expire forgets programs whose time is over and returns the records that drop them, at
// most limit.
func (s *State) Expire(now time.Time, limit int) []work.Record {
	var drops []work.Record
	for name, prog := range s.programs {
		if prog.running > 0 || now.Before(prog.keep.Add(clockSlack)) {
			continue
		}
		if len(drops)+len(prog.turns)+len(prog.open) > limit && len(drops) > 0 {
			continue
		}
		for id := range prog.turns {
			drops = append(drops, work.Record{Key: string(turnKey) + id})
		}
		for id := range prog.open {
			drops = append(drops, work.Record{Key: string(startKey) + id})
		}
		delete(s.programs, name)
	}
	return drops
}

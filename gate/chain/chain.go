package chain

import (
	"slices"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// Turn is an answered turn.
type Turn struct {
	id, program string
	// previous is the ID of the turn that this one continues; empty for a first turn.
	previous string
	expires  time.Time
	tokens   int
	// copied marks a copy of a turn of another program, and discarded a turn that the log has rejected.
	copied, discarded bool
	// Text is the part of the prompt of later turns that this turn adds: its input, then the data of each
	// event of its answer, each followed by a line feed.
	Text []byte

	// ReplicaRun identifies the run of the replica that answered the turn (see work.Replica.RunID); empty if the
	// turn ended at another owner.
	ReplicaRun string
	// CachedTokens is the number of tokens of the chain that the replica held in its cache after the turn.
	CachedTokens int
}

// reservation is the number of tokens that one turn may spend.
type reservation struct {
	maxTokens int
	phase     phase
}

// phase is the state of the turn that holds a reservation.
type phase int

const (
	// phaseInUse means that a turn without a complete answer may have spent the reservation.
	phaseInUse phase = iota
	// phaseFinished means that the turn's own tokens are counted, but the log may not hold the turn yet.
	phaseFinished
	// phaseFree means that another turn may use the reservation: the log holds the turn that used it, or that
	// turn was not run.
	phaseFree
)

// program is the state of one program.
type program struct {
	turns map[string]*Turn
	// spent is the number of tokens of the answered turns.
	spent int
	// reservations holds the reservations by the ID of the turn that created them. The log holds all of them,
	// or their records are queued. Another owner counts them as spent, since it cannot know whether a turn
	// has begun to use them.
	reservations map[string]*reservation
	// reservationOf maps each turn that has begun to the turn whose reservation it uses, until that
	// reservation is free or dropped.
	reservationOf map[string]string
	// grant is the budget of turns whose answers are not stored.
	grant grant
	// running counts the turns in progress at this owner.
	running int
	// failures counts the consecutive failed attempts of a turn, by the ID of the turn that it continues.
	failures map[string]int
	// expires is the time from which the program may be dropped, and loggedUntil the time until which the records that the
	// log holds, or that are queued, keep it at another owner.
	expires, loggedUntil time.Time
}

// State holds the programs of one slot. It is not safe for concurrent use.
type State struct {
	programs map[string]*program
}

// New returns an empty state.
func New() *State {
	return &State{programs: map[string]*program{}}
}

// ProgramCount returns the number of programs in the state.
func (s *State) ProgramCount() int {
	return len(s.programs)
}

// Apply applies a record of the log. Records with the same key must be applied in their order in the
// log.
func (s *State) Apply(rec work.Record) error {
	if len(rec.Key) < 2 {
		return fault.Fail(fault.Protocol, "record without a key in the log")
	}
	id := rec.Key[1:]
	switch rec.Key[0] {
	case turnKeyPrefix:
		return s.applyTurn(id, rec.Value)
	case copyKeyPrefix:
		return s.applyCopy(id, rec.Value)
	case startKeyPrefix:
		return s.applyStart(id, rec.Value)
	case grantKeyPrefix:
		return s.applyGrant(id, rec.Value)
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
	s.storeTurn(t)
	return nil
}

// applyCopy applies the record of a copy. Other keys with the same first byte have no separator and are
// ignored.
func (s *State) applyCopy(name string, raw []byte) error {
	program, id, ok := strings.Cut(name, copyKeySeparator)
	if !ok {
		return nil
	}
	if len(raw) == 0 {
		if prog, have := s.programs[program]; have {
			delete(prog.turns, id)
			s.removeIfEmpty(program, prog)
		}
		return nil
	}
	t, err := decodeTurn(id, raw)
	if err != nil {
		return err
	}
	t.copied = true
	s.storeTurn(t)
	return nil
}

func (s *State) applyStart(id string, raw []byte) error {
	if len(raw) == 0 {
		s.dropStart(id)
		return nil
	}
	name, expires, maxTokens, err := decodeStart(raw)
	if err != nil {
		return err
	}
	prog := s.ensureProgram(name)
	prog.reservations[id] = &reservation{maxTokens: maxTokens}
	prog.keepUntil(expires, true)
	return nil
}

func (s *State) ensureProgram(name string) *program {
	prog, ok := s.programs[name]
	if !ok {
		prog = &program{turns: map[string]*Turn{}, reservations: map[string]*reservation{}, reservationOf: map[string]string{}, failures: map[string]int{}, grant: grant{active: map[string]int{}}}
		s.programs[name] = prog
	}
	return prog
}

func (s *State) storeTurn(t *Turn) {
	s.shareText(t)
	prog := s.ensureProgram(t.program)
	if have, ok := prog.turns[t.id]; ok {
		prog.spent -= have.tokens
	}
	prog.turns[t.id] = t
	prog.spent += t.tokens
	prog.keepUntil(t.expires, true)
}

// dropTurn and dropStart search all programs, since the records do not name the program. Such records are
// only read while a slot is loaded or records are forwarded to it.
func (s *State) dropTurn(id string) {
	for name, prog := range s.programs {
		if t, ok := prog.turns[id]; ok && !t.copied {
			prog.spent -= t.tokens
			delete(prog.turns, id)
			s.removeIfEmpty(name, prog)
			return
		}
	}
}

func (s *State) dropStart(id string) {
	for name, prog := range s.programs {
		if _, ok := prog.reservations[id]; ok {
			prog.dropReservation(id)
			s.removeIfEmpty(name, prog)
			return
		}
	}
}

// dropReservation removes a reservation and returns the record that drops it from the log.
func (p *program) dropReservation(id string) work.Record {
	delete(p.reservations, id)
	return work.Record{Key: string(startKeyPrefix) + id}
}

// smallestFree returns the smallest free reservation of at least maxTokens.
func (p *program) smallestFree(maxTokens int) (id string, ok bool) {
	smallest := 0
	for name, res := range p.reservations {
		if res.phase != phaseFree || res.maxTokens < maxTokens || (ok && res.maxTokens >= smallest) {
			continue
		}
		id, ok, smallest = name, true, res.maxTokens
	}
	return id, ok
}

// committedTokens returns the tokens that the program has spent or that its unfinished turns may have
// spent.
func (p *program) committedTokens() int {
	sum := p.spent + p.grant.committedTokens()
	for _, res := range p.reservations {
		if res.phase == phaseInUse {
			sum += res.maxTokens
		}
	}
	return sum
}

// removeIfEmpty removes a program that has no turns, reservations or grant.
func (s *State) removeIfEmpty(name string, prog *program) {
	if len(prog.turns) == 0 && len(prog.reservations) == 0 && prog.grant.empty() {
		delete(s.programs, name)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// HasTurn reports whether the program has the turn.
func (s *State) HasTurn(name, id string) bool {
	prog, ok := s.programs[name]
	if !ok {
		return false
	}
	t := prog.turns[id]
	return t != nil && !t.discarded
}

// HasStarted reports whether a turn of the program has run or is in progress.
func (s *State) HasStarted(name string) bool {
	prog, ok := s.programs[name]
	return ok && (prog.running > 0 || prog.committedTokens() > 0 || len(prog.turns) > 0)
}

// CountFailure counts a failed attempt of a turn that a replica may have run.
func (s *State) CountFailure(o OpenTurn) {
	if prog, ok := s.programs[o.Program]; ok {
		prog.failures[o.Previous]++
	}
}

// ResetFailures resets the failed attempts of a turn, which was answered completely.
func (s *State) ResetFailures(o OpenTurn) {
	if prog, ok := s.programs[o.Program]; ok {
		delete(prog.failures, o.Previous)
	}
}

// FailureCount returns the number of consecutive failed attempts of a turn that this owner has seen.
func (s *State) FailureCount(o OpenTurn) int {
	prog, ok := s.programs[o.Program]
	if !ok {
		return 0
	}
	return prog.failures[o.Previous]
}

// SpentTokens returns the tokens that the program has spent, including those that turns in progress, and
// turns lost with a previous owner, may have spent.
func (s *State) SpentTokens(name string) int {
	prog, ok := s.programs[name]
	if !ok {
		return 0
	}
	return prog.committedTokens()
}

// History returns the turns that lead to the given one, oldest first, including it. It returns none for an
// empty ID.
func (s *State) History(name, id string) ([]*Turn, error) {
	if id == "" {
		return nil, nil
	}
	prog, ok := s.programs[name]
	if !ok {
		return nil, fault.Refuse(fault.NoTurn, "the previous turn is not stored")
	}
	var turns []*Turn
	for at := id; at != ""; {
		t, ok := prog.turns[at]
		if !ok || t.discarded || len(turns) > len(prog.turns) {
			return nil, fault.Refuse(fault.NoTurn, "the previous turn is not stored")
		}
		turns = append(turns, t)
		at = t.previous
	}
	slices.Reverse(turns)
	return turns, nil
}

// ChainText returns the text of the chain that ends with the turn, whichever program the turn belongs to.
func (s *State) ChainText(id string) ([]byte, bool) {
	for name, prog := range s.programs {
		if prog.turns[id] == nil {
			continue
		}
		turns, err := s.History(name, id)
		if err != nil {
			continue
		}
		var text []byte
		for _, t := range turns {
			text = append(text, t.Text...)
		}
		return text, true
	}
	return nil, false
}

// OpenTurn describes a turn that begins or is in progress.
type OpenTurn struct {
	ID, Program, Previous string
	// MaxTokens is the maximum number of tokens of the answer.
	MaxTokens int
	// Retention is how long the turn is kept after its end.
	Retention time.Duration
	// Deadline is the time by which the caller has the answer, if it gets one.
	Deadline time.Time
	// MaxText is the number of bytes of text that fit into one record; 0 means no limit.
	MaxText int
	// GrantedTokens is the size of the program's grant once the log holds the turn's record, for ConfirmGrant;
	// zero for a turn without such a record.
	GrantedTokens int
}

// BeginStateful begins a turn and reserves its tokens. It returns the record of the reservation, which must
// be in the log before any output is delivered, or none if the turn reuses a reservation that is in the log.
// A negative budget means no limit.
func (s *State) BeginStateful(now time.Time, o OpenTurn, budget int) ([]work.Record, error) {
	prog := s.ensureProgram(o.Program)
	if budget >= 0 && prog.committedTokens()+o.MaxTokens > budget {
		s.removeIfEmpty(o.Program, prog)
		return nil, fault.Refuse(fault.BudgetSpent, "the program's budget does not allow another turn")
	}
	prog.running++
	until := o.keptUntil(now)
	prog.keepUntil(until, false)
	if id, ok := prog.smallestFree(o.MaxTokens); ok {
		prog.reservations[id].phase = phaseInUse
		prog.reservationOf[o.ID] = id
		return nil, nil
	}
	prog.reservations[o.ID] = &reservation{maxTokens: o.MaxTokens}
	prog.reservationOf[o.ID] = o.ID
	prog.keepUntil(until, true)
	return []work.Record{startRecord(o.ID, o.Program, o.MaxTokens, until)}, nil
}

// Cancel ends a turn that no replica has run and returns the records to write.
func (s *State) Cancel(o OpenTurn) []work.Record {
	prog, ok := s.programs[o.Program]
	if !ok {
		return nil
	}
	prog.running--
	id := prog.reservationOf[o.ID]
	delete(prog.reservationOf, o.ID)
	if res, ok := prog.reservations[id]; ok && id != o.ID {
		res.phase = phaseFree
		return nil
	}
	drop := prog.dropReservation(o.ID)
	s.removeIfEmpty(o.Program, prog)
	return []work.Record{drop}
}

// Abort ends a turn without a complete answer. Its reservation stays counted as spent.
func (s *State) Abort(o OpenTurn) {
	if prog, ok := s.programs[o.Program]; ok {
		prog.running--
	}
}

// Finish ends a turn with a complete answer and returns the records to write, in their order. The reservation is kept for a
// later turn, unless a free one of at least its size exists; FreeReservation makes it available.
func (s *State) Finish(now time.Time, o OpenTurn, tokens int, text []byte) (*Turn, []work.Record) {
	t := newTurn(now, o, tokens, text)
	prog := s.ensureProgram(o.Program)
	prog.running--
	recs := s.storeParts(t, o.MaxText)
	id := prog.reservationOf[o.ID]
	res, ok := prog.reservations[id]
	if !ok {
		return t, recs
	}
	res.phase = phaseFinished
	if _, other := prog.smallestFree(res.maxTokens); other {
		delete(prog.reservationOf, o.ID)
		recs = append(recs, prog.dropReservation(id))
	}
	return t, recs
}

// newTurn returns the answered turn.
func newTurn(now time.Time, o OpenTurn, tokens int, text []byte) *Turn {
	return &Turn{
		id: o.ID, program: o.Program, previous: o.Previous,
		expires: o.keptUntil(now), tokens: tokens, Text: text,
	}
}

// FreeReservation makes the reservation of a finished turn available to the program's next turn. It must only
// be called once this owner has written the turn's end to the log: until then another owner may count the
// reservation instead of the tokens that the turn has spent.
func (s *State) FreeReservation(o OpenTurn) {
	prog, ok := s.programs[o.Program]
	if !ok {
		return
	}
	id, ok := prog.reservationOf[o.ID]
	if !ok {
		return
	}
	delete(prog.reservationOf, o.ID)
	if res, ok := prog.reservations[id]; ok {
		res.phase = phaseFree
	}
}

// ReleaseUnused drops all reservations that no turn uses, reduces the grants to the tokens in use, and
// returns the records to write. It is for an owner that releases the slot: the next owner would count the
// rest as spent.
func (s *State) ReleaseUnused() []work.Record {
	var drops []work.Record
	for name, prog := range s.programs {
		for id, res := range prog.reservations {
			if res.phase == phaseFree {
				drops = append(drops, prog.dropReservation(id))
			}
		}
		drops = append(drops, prog.releaseGrant(name)...)
		s.removeIfEmpty(name, prog)
	}
	return drops
}

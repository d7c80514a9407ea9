package chain

import (
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// turnsPerGrant is the number of turns of maximum length that one grant covers, if the budget allows. A
	// larger grant needs fewer log writes and outlasts longer outages of the log, but wastes more of the
	// budget when an owner is lost. A turn takes about a quarter of its maximum, so a program of a dozen turns
	// writes one grant.
	turnsPerGrant = 4
	// grantRetentions is the lifetime of a grant in the log, in multiples of the retention, so that
	// later turns rarely have to renew it.
	grantRetentions = 2
)

// grant is the part of a program's budget for turns whose answers are not stored. The log holds no record of
// a single such turn unless the slot is released, so the grant shows that the program has run.
type grant struct {
	// logged is the total number of tokens that such turns may have delivered since the program began,
	// according to the log and to queued records. Another owner counts it as spent.
	logged int
	// confirmed is the part of logged that the log has confirmed to this owner.
	confirmed int
	// spent is the number of tokens that ended turns have delivered or, if this owner does not know, may have
	// delivered. It is never more than logged.
	spent int
	// active maps each turn in progress to its maximum number of tokens.
	active map[string]int
	// released is set once the slot is being released: each turn that ends from then on is recorded
	// separately. settled holds the tokens of such turns, and recorded those in progress that are recorded so though the slot
	// was not released in the end.
	released bool
	settled  map[string]int
	recorded map[string]bool
	// expires is the time from which the log may drop the grant.
	expires time.Time
}

// committedTokens returns the tokens that ended turns have delivered and that turns in progress may
// deliver.
func (g *grant) committedTokens() int {
	sum := g.spent
	for _, maxTokens := range g.active {
		sum += maxTokens
	}
	return sum
}

func (g *grant) empty() bool {
	return g.logged == 0 && len(g.active) == 0
}

func (s *State) applyGrant(name string, raw []byte) error {
	if len(raw) == 0 {
		if prog, ok := s.programs[name]; ok {
			prog.grant = grant{active: map[string]int{}}
			s.removeIfEmpty(name, prog)
		}
		return nil
	}
	expires, tokens, err := decodeGrant(raw)
	if err != nil {
		return err
	}
	prog := s.ensureProgram(name)
	prog.grant = grant{logged: tokens, confirmed: tokens, spent: tokens, active: map[string]int{}, expires: expires}
	prog.keepUntil(expires, true)
	return nil
}

// BeginStateless begins a turn whose answer is not stored. It returns the record that must be in the log
// before any output is delivered, or none if the confirmed grant covers the turn. A negative budget means no
// limit.
func (s *State) BeginStateless(now time.Time, o OpenTurn, budget int) ([]work.Record, error) {
	prog := s.ensureProgram(o.Program)
	used := prog.committedTokens()
	if budget >= 0 && used+o.MaxTokens > budget {
		s.removeIfEmpty(o.Program, prog)
		return nil, fault.Refuse(fault.BudgetSpent, "the program's budget does not allow another turn")
	}
	prog.running++
	until := o.keptUntil(now)
	prog.keepUntil(until, false)
	g := &prog.grant
	need := g.committedTokens() + o.MaxTokens
	g.active[o.ID] = o.MaxTokens
	if need <= g.confirmed && g.expires.After(until) {
		return nil, nil
	}
	if need > g.logged {
		ahead := (turnsPerGrant - 1) * o.MaxTokens
		if budget >= 0 {
			ahead = min(ahead, budget-used-o.MaxTokens)
		}
		g.logged = need + ahead
	}
	g.expires = latest(g.expires, until.Add((grantRetentions-1)*o.Retention))
	prog.keepUntil(g.expires, true)
	return []work.Record{grantRecord(o.Program, g.logged, g.expires)}, nil
}

// GrantedTokens returns the size of the program's grant in the log once the queued records are written, for
// ConfirmGrant.
func (s *State) GrantedTokens(name string) int {
	if prog, ok := s.programs[name]; ok {
		return prog.grant.logged
	}
	return 0
}

// ConfirmGrant records that the log holds a grant of the given size, written by this owner.
func (s *State) ConfirmGrant(name string, tokens int) {
	if prog, ok := s.programs[name]; ok {
		prog.grant.confirmed = max(prog.grant.confirmed, min(tokens, prog.grant.logged))
	}
}

// EndStateless ends a turn that began with BeginStateless and delivered the given number of tokens. It
// returns a record, for the next owner, only if the slot is being released.
func (s *State) EndStateless(o OpenTurn, tokens int) []work.Record {
	prog, ok := s.programs[o.Program]
	if !ok {
		return nil
	}
	_, active := prog.grant.active[o.ID]
	if !active && !prog.grant.recorded[o.ID] {
		return nil
	}
	delete(prog.grant.active, o.ID)
	delete(prog.grant.recorded, o.ID)
	prog.running--
	if !active {
		prog.reservations[o.ID] = &reservation{maxTokens: tokens}
	}
	if prog.grant.released {
		prog.grant.settled[o.ID] = tokens
	}
	if !active || prog.grant.released {
		return []work.Record{startRecord(o.ID, o.Program, tokens, prog.grant.expires)}
	}
	prog.grant.spent += tokens
	s.removeIfEmpty(o.Program, prog)
	return nil
}

// releaseGrant reduces the grant to the tokens spent and returns the records to write. Each turn in
// progress becomes a reservation, which EndStateless reduces to the tokens that the turn delivered.
func (p *program) releaseGrant(name string) []work.Record {
	g := &p.grant
	if g.empty() || g.released {
		return nil
	}
	g.released, g.settled = true, map[string]int{}
	recs := []work.Record{grantRecord(name, g.spent, g.expires)}
	for id, maxTokens := range g.active {
		recs = append(recs, startRecord(id, name, maxTokens, g.expires))
	}
	return recs
}

// Reopen makes the state of a slot that was to be released, but was not, that of its owner again. Grants hold no more than what
// ReleaseUnused has left of them.
func (s *State) Reopen() {
	for _, prog := range s.programs {
		g := &prog.grant
		if !g.released {
			continue
		}
		g.released, g.logged, g.confirmed, g.recorded = false, g.spent, g.spent, map[string]bool{}
		for id, tokens := range g.settled {
			prog.reservations[id] = &reservation{maxTokens: tokens}
		}
		for id, maxTokens := range g.active {
			prog.reservations[id] = &reservation{maxTokens: maxTokens}
			g.recorded[id] = true
			delete(g.active, id)
		}
	}
}

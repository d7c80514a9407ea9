package chain

import (
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// aheadTurns is how many turns at their most are granted to a program at once, as far as its
	// budget holds them. A turn takes about a quarter of its most, so a program of a dozen turns
	// needs the log once, and goes on while the log is away; more would only make what a lost
	// owner had granted, and did not spend, larger.
	aheadTurns = 4
	// keepAhead is how many retentions a grant is kept in the log from when it is written, so
	// that the program's later turns need not write it anew.
	keepAhead = 2
)

// grant is what a program's turns spend whose answers are not kept. Turns of that kind name no
// turn before them, so it is all that says that the program has run before.
type grant struct {
	// logged is what the log holds or is about to: all that such turns may have handed out since
	// the program began. Another owner counts it as spent.
	logged int
	// confirmed is the part of logged that the log has confirmed to this owner.
	confirmed int
	// spent is what turns that are over have handed out, or may have for all that this owner
	// knows. It is never more than logged.
	spent int
	// drawn is the most of each turn under way.
	drawn map[string]int
	// settled says that the slot is given up: turns that end from now on are records of their own.
	settled bool
	// keep is until when the log keeps it.
	keep time.Time
}

// used is what turns have handed out and what those under way may.
func (g *grant) used() int {
	sum := g.spent
	for _, most := range g.drawn {
		sum += most
	}
	return sum
}

func (g *grant) empty() bool {
	return g.logged == 0 && len(g.drawn) == 0
}

func (s *State) applyGrant(name string, raw []byte) error {
	if len(raw) == 0 {
		if prog, ok := s.programs[name]; ok {
			prog.grant = grant{drawn: map[string]int{}}
			s.forget(name, prog)
		}
		return nil
	}
	keep, tokens, err := decodeGrant(raw)
	if err != nil {
		return err
	}
	prog := s.program(name)
	prog.grant = grant{logged: tokens, confirmed: tokens, spent: tokens, drawn: map[string]int{}, keep: keep}
	prog.keep = later(prog.keep, keep)
	return nil
}

// Draw begins a turn whose answer is not kept. It returns the record that the log must hold
// before anything is handed out, or none if the log has granted enough to the program already.
func (s *State) Draw(now time.Time, o Open, budget int) ([]work.Record, error) {
	prog := s.program(o.Program)
	used := prog.bound()
	if budget >= 0 && used+o.Most > budget {
		s.forget(o.Program, prog)
		return nil, fault.Refuse(fault.BudgetSpent, "the program's budget does not hold another turn")
	}
	prog.running++
	prog.keep = later(prog.keep, now.Add(o.Retention))
	g := &prog.grant
	need := g.used() + o.Most
	g.drawn[o.ID] = o.Most
	if need <= g.confirmed && g.keep.After(now.Add(o.Retention)) {
		return nil, nil
	}
	if need > g.logged {
		ahead := (aheadTurns - 1) * o.Most
		if budget >= 0 {
			ahead = min(ahead, budget-used-o.Most)
		}
		g.logged = need + ahead
	}
	g.keep = later(g.keep, now.Add(keepAhead*o.Retention))
	prog.keep = later(prog.keep, g.keep)
	return []work.Record{grantRecord(o.Program, g.logged, g.keep)}, nil
}

// Granted is what the log is to hold for the program, for Confirm.
func (s *State) Granted(name string) int {
	if prog, ok := s.programs[name]; ok {
		return prog.grant.logged
	}
	return 0
}

// Confirm notes that the log holds a grant of so many tokens, as written by this owner.
func (s *State) Confirm(name string, tokens int) {
	if prog, ok := s.programs[name]; ok {
		prog.grant.confirmed = max(prog.grant.confirmed, min(tokens, prog.grant.logged))
	}
}

// Return ends a turn that began with Draw and handed out so many tokens. The records that it
// returns, if any, are for the slot's next owner.
func (s *State) Return(o Open, tokens int) []work.Record {
	prog, ok := s.programs[o.Program]
	if !ok {
		return nil
	}
	if _, ok := prog.grant.drawn[o.ID]; !ok {
		return nil
	}
	delete(prog.grant.drawn, o.ID)
	prog.running--
	if prog.grant.settled {
		return []work.Record{startRecord(o.ID, o.Program, tokens, prog.grant.keep)}
	}
	prog.grant.spent += tokens
	s.forget(o.Program, prog)
	return nil
}

// settleGrant takes back what is granted and not spent, and turns each turn under way into a
// reservation, which its end makes as small as what it handed out.
func (p *program) settleGrant(name string) []work.Record {
	g := &p.grant
	if g.empty() || g.settled {
		return nil
	}
	g.settled = true
	recs := []work.Record{grantRecord(name, g.spent, g.keep)}
	for id, most := range g.drawn {
		recs = append(recs, startRecord(id, name, most, g.keep))
	}
	return recs
}

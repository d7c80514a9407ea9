package chain

import (
	"time"

	"mulleingate.dev/gate/work"
)

// clockSlack is how much longer than its retention a program is kept, since the clocks of boxes differ.
const clockSlack = 5 * time.Second

const (
	// renewalID follows the program in the ID of the reservation of no tokens that keeps the program. Names that callers send
	// can't contain it.
	renewalID = "\x00"
	// renewalDivisor is the part of the retention that a renewal adds, so that a series of answers needs few of them.
	renewalDivisor = 4
)

// keepUntil extends the program's life. logged says that a record with that time is in the log or queued.
func (p *program) keepUntil(expires time.Time, logged bool) {
	p.expires = latest(p.expires, expires)
	if logged {
		p.loggedUntil = latest(p.loggedUntil, expires)
	}
}

// keptUntil returns the time until which a turn that ends, or is refused, now or later is kept: its caller may get the
// answer as late as the deadline.
func (o OpenTurn) keptUntil(now time.Time) time.Time {
	return latest(now, o.Deadline).Add(o.Retention)
}

// Renew keeps the program for its retention from now on, since its caller gets an answer other than a turn: what the program
// has spent counts when it comes again. It returns the record to write, if the log would not keep the program as long.
func (s *State) Renew(now time.Time, o OpenTurn) []work.Record {
	prog, ok := s.programs[o.Program]
	if !ok {
		return nil
	}
	until := now.Add(o.Retention)
	prog.keepUntil(until, false)
	if !prog.loggedUntil.Before(until) {
		return nil
	}
	until = until.Add(o.Retention / renewalDivisor)
	id := o.Program + renewalID
	prog.reservations[id] = &reservation{}
	prog.keepUntil(until, true)
	return []work.Record{startRecord(id, o.Program, 0, until)}
}

// Expire removes expired programs and returns the records that drop them. limit bounds the number of records
// approximately: a program is dropped as a whole, and grants do not count.
func (s *State) Expire(now time.Time, limit int) []work.Record {
	var drops []work.Record
	for name, prog := range s.programs {
		if prog.running > 0 || now.Before(prog.expires.Add(clockSlack)) {
			continue
		}
		if len(drops)+len(prog.turns)+len(prog.reservations) > limit && len(drops) > 0 {
			continue
		}
		for _, t := range prog.turns {
			drops = append(drops, work.Record{Key: t.key()})
		}
		for id := range prog.reservations {
			drops = append(drops, work.Record{Key: string(startKeyPrefix) + id})
		}
		if prog.grant.logged > 0 {
			drops = append(drops, work.Record{Key: string(grantKeyPrefix) + name})
		}
		delete(s.programs, name)
	}
	return drops
}

package chain

import (
	"time"

	"mulleingate.dev/gate/work"
)

// Check reports whether Apply can decode the record.
func Check(rec work.Record) error {
	return New().Apply(rec)
}

// Discard makes the turns whose records the log has rejected unknown, so that no later turn goes on from one that the next
// owner does not have. Their tokens stay counted.
func (s *State) Discard(recs []work.Record) {
	for _, rec := range recs {
		if len(rec.Value) == 0 || len(rec.Key) < 2 || (rec.Key[0] != turnKeyPrefix && rec.Key[0] != copyKeyPrefix) {
			continue
		}
		for _, prog := range s.programs {
			for _, t := range prog.turns {
				if t.key() == rec.Key {
					t.discarded, t.Text = true, nil
				}
			}
		}
	}
}

// Unfinish makes a turn whose end the log has rejected count at its maximum again, as the next owner counts it. It returns the
// records to write.
func (s *State) Unfinish(now time.Time, o OpenTurn) []work.Record {
	prog := s.ensureProgram(o.Program)
	if t, ok := prog.turns[o.ID]; ok && t.discarded {
		prog.spent -= t.tokens
		delete(prog.turns, o.ID)
	}
	if res, ok := prog.reservations[prog.reservationOf[o.ID]]; ok {
		res.phase = phaseInUse
		return nil
	}
	until := o.keptUntil(now)
	prog.reservations[o.ID] = &reservation{maxTokens: o.MaxTokens}
	prog.keepUntil(until, true)
	return []work.Record{startRecord(o.ID, o.Program, o.MaxTokens, until)}
}

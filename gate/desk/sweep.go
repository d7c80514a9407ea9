package desk

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// The reasons for which programs end.
const (
	EndedByCaller   = "by_caller"
	EndedByDeadline = "deadline"
	EndedByIdle     = "idle"
	EndedByTurns    = "turn_limit"
	EndedByBudget   = "budget"
	EndedWithRoot   = "root_ended"
)

const (
	// keepEnded is how long an ended program still answers repeats.
	keepEnded = 10 * time.Minute
	// maxSnapshot bounds the records of one snapshot step.
	maxSnapshot = 64
)

// End closes a program and everything below it. It returns the ids that it closed.
func (d *Desk) End(now time.Time, id, reason string) ([]string, []types.Record) {
	prog, ok := d.State.Programs[id]
	if !ok || prog.Ended != "" {
		return nil, nil
	}
	ids := []string{id}
	recs := d.write(types.Record{End: &types.End{Program: id, Reason: reason, At: now}})
	for child, p := range d.State.Programs {
		if p.Begin.Parent != id || p.Ended != "" {
			continue
		}
		below, more := d.End(now, child, EndedWithRoot)
		ids = append(ids, below...)
		recs = append(recs, more...)
	}
	return ids, recs
}

// Sweep ends programs that are over and forgets what is old. It returns the ids of the
// programs that it ended.
func (d *Desk) Sweep(now time.Time, keepKeys time.Duration) ([]string, []types.Record) {
	var ended []string
	var recs []types.Record
	for id, prog := range d.State.Programs {
		if prog.Ended != "" {
			d.forget(now, id, prog)
			continue
		}
		reason := d.over(now, prog)
		if reason == "" {
			continue
		}
		ids, more := d.End(now, id, reason)
		ended = append(ended, ids...)
		recs = append(recs, more...)
	}
	for key, st := range d.State.Keys {
		if _, running := d.Calls[key]; !running && now.Sub(st.Intent.At) > keepKeys {
			delete(d.State.Keys, key)
			delete(d.written, keyItem(key))
		}
	}
	return ended, recs
}

// over says why a program has to end, or "".
func (d *Desk) over(now time.Time, prog *types.Program) string {
	if !now.Before(prog.Begin.Deadline) {
		return EndedByDeadline
	}
	if _, running := d.Turns[prog.Begin.ID]; running {
		return ""
	}
	if fold.LastTurn(prog) >= prog.Begin.Limits.Turns {
		return EndedByTurns
	}
	idle := time.Duration(prog.Begin.Limits.Idle)
	// Its own last use is looked at first: going through sub-agents costs a look at all programs.
	if idle > 0 && now.Sub(prog.LastAt) > idle && now.Sub(d.lastUse(prog)) > idle {
		return EndedByIdle
	}
	if spent, budget := d.Spent(prog); budget > 0 && spent >= budget && d.reserved[prog.Begin.Root] == 0 {
		return EndedByBudget
	}
	return ""
}

// lastUse is when the program or any below it last did something.
func (d *Desk) lastUse(prog *types.Program) time.Time {
	last := prog.LastAt
	for id, p := range d.State.Programs {
		if p.Begin.Parent != prog.Begin.ID {
			continue
		}
		if _, running := d.Turns[id]; running {
			return time.Unix(1<<40, 0)
		}
		if p.LastAt.After(last) {
			last = p.LastAt
		}
	}
	return last
}

func (d *Desk) forget(now time.Time, id string, prog *types.Program) {
	if now.Sub(prog.LastAt) <= keepEnded {
		return
	}
	delete(d.State.Programs, id)
	delete(d.State.Purses, id)
	delete(d.logged, id)
	delete(d.confirmed, id)
	delete(d.reserved, id)
	delete(d.written, id)
}

// Snapshot returns records that carry items not appended for the given age, so that the
// log's retention never drops what is in use.
func (d *Desk) Snapshot(now time.Time, age time.Duration) []types.Record {
	var recs []types.Record
	for id, prog := range d.State.Programs {
		if now.Sub(d.written[id]) < age {
			continue
		}
		d.written[id] = now
		recs = append(recs, d.carry(prog)...)
		if len(recs) >= maxSnapshot {
			return recs
		}
	}
	for key, st := range d.State.Keys {
		if _, running := d.Calls[key]; running || now.Sub(d.written[keyItem(key)]) < age {
			continue
		}
		d.written[keyItem(key)] = now
		copied := *st
		recs = append(recs, types.Record{KeyState: &copied})
		if len(recs) >= maxSnapshot {
			return recs
		}
	}
	return recs
}

// carry is the snapshot of one program: itself, its purse, its turns in order.
func (d *Desk) carry(prog *types.Program) []types.Record {
	snap := *prog
	snap.Turns = nil
	recs := []types.Record{{Program: &snap}}
	if purse, ok := d.State.Purses[prog.Begin.ID]; ok {
		copied := *purse
		recs = append(recs, types.Record{TreeBudget: &copied})
	}
	for _, turn := range prog.Turns {
		turn.Replaces = false
		recs = append(recs, types.Record{Turn: &turn})
	}
	return recs
}

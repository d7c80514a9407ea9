package desk

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// Reasons for the end of a program.
const (
	EndedByCaller   = "by_caller"
	EndedByDeadline = "deadline"
	EndedByIdle     = "idle"
	EndedByTurns    = "turn_limit"
	EndedByBudget   = "budget"
	EndedWithParent = "root_ended"
)

const (
	// endedRetention is how long an ended program still answers repeated requests.
	endedRetention = 10 * time.Minute
	// maxSnapshotRecords is the number of records after which a call of Snapshot stops. The last
	// program added may exceed it.
	maxSnapshotRecords = 64
)

// End ends a program and its descendants. It returns the ids of the programs that it ended.
func (s *OwnerState) End(now time.Time, id, reason string) ([]string, []types.Record) {
	prog, ok := s.State.Programs[id]
	if !ok || prog.Ended != "" {
		return nil, nil
	}
	ids := []string{id}
	recs := s.write(types.Record{End: &types.End{Program: id, Reason: reason, At: now}})
	for child, p := range s.State.Programs {
		if p.Begin.Parent != id || p.Ended != "" {
			continue
		}
		endedIDs, childRecs := s.End(now, child, EndedWithParent)
		ids = append(ids, endedIDs...)
		recs = append(recs, childRecs...)
	}
	return ids, recs
}

// Sweep ends programs that are past a limit, and drops expired keys and programs that ended
// long ago. It returns the ids of the programs that it ended.
func (s *OwnerState) Sweep(now time.Time, keepKeys time.Duration) ([]string, []types.Record) {
	var ended []string
	var recs []types.Record
	for id, prog := range s.State.Programs {
		if prog.Ended != "" {
			s.forget(now, id, prog)
			continue
		}
		reason := s.endReason(now, prog)
		if reason == "" {
			continue
		}
		ids, more := s.End(now, id, reason)
		ended = append(ended, ids...)
		recs = append(recs, more...)
	}
	for key, st := range s.State.Keys {
		if _, running := s.Calls[key]; !running && now.Sub(st.Intent.At) > keepKeys {
			delete(s.State.Keys, key)
			delete(s.lastAppended, keyItemID(key))
		}
	}
	return ended, recs
}

// endReason returns the reason for which a program must end now, or "".
func (s *OwnerState) endReason(now time.Time, prog *types.Program) string {
	if !now.Before(prog.Begin.Deadline) {
		return EndedByDeadline
	}
	if _, running := s.Turns[prog.Begin.ID]; running {
		return ""
	}
	if fold.LastTurn(prog) >= prog.Begin.Limits.Turns {
		return EndedByTurns
	}
	idle := time.Duration(prog.Begin.Limits.Idle)
	// The program's own LastAt is checked first, because lastActivity scans all programs.
	if idle > 0 && now.Sub(prog.LastAt) > idle && now.Sub(s.lastActivity(prog)) > idle {
		return EndedByIdle
	}
	if spent, budget := s.Spent(prog); budget > 0 && spent >= budget && s.reserved[prog.Begin.Root] == 0 {
		return EndedByBudget
	}
	return ""
}

// lastActivity returns the last activity of the program and its direct sub-agents. It is in
// the far future while one of those has a turn in flight.
func (s *OwnerState) lastActivity(prog *types.Program) time.Time {
	last := prog.LastAt
	for id, p := range s.State.Programs {
		if p.Begin.Parent != prog.Begin.ID {
			continue
		}
		if _, running := s.Turns[id]; running {
			return time.Unix(1<<40, 0)
		}
		if p.LastAt.After(last) {
			last = p.LastAt
		}
	}
	return last
}

// forget drops an ended program after endedRetention.
func (s *OwnerState) forget(now time.Time, id string, prog *types.Program) {
	if now.Sub(prog.LastAt) <= endedRetention {
		return
	}
	delete(s.State.Programs, id)
	delete(s.State.TreeBudgets, id)
	delete(s.logged, id)
	delete(s.confirmed, id)
	delete(s.reserved, id)
	delete(s.lastAppended, id)
}

// Snapshot returns records that copy programs and keys last appended at least age ago, before
// the log's retention deletes their records.
func (s *OwnerState) Snapshot(now time.Time, age time.Duration) []types.Record {
	var recs []types.Record
	for id, prog := range s.State.Programs {
		if now.Sub(s.lastAppended[id]) < age {
			continue
		}
		s.lastAppended[id] = now
		recs = append(recs, s.snapshotProgram(prog)...)
		if len(recs) >= maxSnapshotRecords {
			return recs
		}
	}
	for key, st := range s.State.Keys {
		if _, running := s.Calls[key]; running || now.Sub(s.lastAppended[keyItemID(key)]) < age {
			continue
		}
		s.lastAppended[keyItemID(key)] = now
		copied := *st
		recs = append(recs, types.Record{KeyState: &copied})
		if len(recs) >= maxSnapshotRecords {
			return recs
		}
	}
	return recs
}

// snapshotProgram returns the snapshot of a program: the program, its budget if it is a root,
// and its turns in order.
func (s *OwnerState) snapshotProgram(prog *types.Program) []types.Record {
	snap := *prog
	snap.Turns = nil
	recs := []types.Record{{Program: &snap}}
	if tree, ok := s.State.TreeBudgets[prog.Begin.ID]; ok {
		copied := *tree
		recs = append(recs, types.Record{TreeBudget: &copied})
	}
	for _, turn := range prog.Turns {
		turn.Replaces = false
		recs = append(recs, types.Record{Turn: &turn})
	}
	return recs
}

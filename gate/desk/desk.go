package desk

import (
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// Run is work under way that later callers may join. Its type belongs to the service
// that runs it.
type Run interface {
	// Attempt identifies the run.
	Attempt() string
}

// TurnRun is a model call under way.
type TurnRun struct {
	Run  Run
	Turn int
	Ask  []byte
	// Reserved is in tokens and counts against the purse until the run is finished.
	Reserved int64
}

// CallRun is a call that may not be repeated, under way.
type CallRun struct {
	Run      Run
	Intent   types.Intent
	Reserved int64
	Root     string
}

// Desk is an owner's memory. The state in it runs ahead of the log by what was handed
// to the writer and is not confirmed yet.
type Desk struct {
	State *fold.State
	// Incarnation is the owner's.
	Incarnation string
	// Turns holds the running turn of a program: one at most.
	Turns map[string]*TurnRun
	// Calls holds the running call of a key: one at most.
	Calls map[string]*CallRun
	// LogUp is false while the last append has failed.
	LogUp bool
	// Superseded is set once a continuation shows a newer claim; the slot is then given up.
	Superseded bool

	reserved map[string]int64
	// confirmed is what the log is known to grant. Nothing beyond it is ever reserved.
	confirmed map[string]int64
	// logged is the number of turns that the log is known to hold; absent if it is not
	// known to hold the program.
	logged map[string]int
	// written is when an item was last appended, for snapshots.
	written map[string]time.Time
}

// New makes the memory of an owner that has just claimed the slot.
func New(state *fold.State, incarnation string) *Desk {
	d := &Desk{
		State: state, Incarnation: incarnation, LogUp: true,
		Turns: map[string]*TurnRun{}, Calls: map[string]*CallRun{},
		reserved: map[string]int64{}, confirmed: map[string]int64{},
		logged: map[string]int{}, written: map[string]time.Time{},
	}
	for id, prog := range state.Programs {
		d.logged[id] = fold.LastTurn(prog)
	}
	for root, purse := range state.Purses {
		d.confirmed[root] = purse.Granted
	}
	return d
}

// Confirm tells that the log holds the records.
func (d *Desk) Confirm(now time.Time, recs []types.Record) {
	for _, rec := range recs {
		switch {
		case rec.Begin != nil:
			d.logged[rec.Begin.ID] = max(d.logged[rec.Begin.ID], 0)
			d.grant(rec.Begin.Root, rec.Begin.Grant)
			d.written[rec.Begin.ID] = now
		case rec.Turn != nil:
			d.logged[rec.Turn.Program] = max(d.logged[rec.Turn.Program], rec.Turn.Number)
		case rec.Grant != nil:
			d.grant(rec.Grant.Root, rec.Grant.Total)
		case rec.Program != nil:
			d.written[rec.Program.Begin.ID] = now
		case rec.Intent != nil:
			d.written[keyItem(rec.Intent.Key)] = now
		case rec.KeyState != nil:
			d.written[keyItem(rec.KeyState.Intent.Key)] = now
		}
	}
}

func (d *Desk) grant(root string, total int64) {
	d.confirmed[root] = max(d.confirmed[root], total)
}

func keyItem(key string) string {
	return "key " + key
}

// Logged returns how many turns of the program the log holds, and whether it holds the
// program at all.
func (d *Desk) Logged(program string) (int, bool) {
	n, ok := d.logged[program]
	return n, ok
}

// Program finds a workspace's program. Another workspace's looks absent.
func (d *Desk) Program(id, workspace string) (*types.Program, error) {
	prog, ok := d.State.Programs[id]
	if !ok || prog.Begin.Workspace != workspace {
		return nil, fault.Refuse(fault.NoProgram, "no such program")
	}
	return prog, nil
}

// write applies records to the state and returns them for the log.
func (d *Desk) write(recs ...types.Record) []types.Record {
	for _, rec := range recs {
		d.State.ApplyRecord(rec)
	}
	return recs
}

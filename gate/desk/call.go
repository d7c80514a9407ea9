package desk

import (
	"bytes"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// CallAsk asks to run a call that may not be repeated.
type CallAsk struct {
	Intent types.Intent
	Price  int64
	Chunk  int64
}

// CallStart is the decision on a call: exactly one of Stored, Join, Unknown and Run is set.
type CallStart struct {
	Stored *types.Outcome
	Join   Run
	// Unknown is an intent whose outcome nobody here knows.
	Unknown *types.Intent
	Run     *CallRun
}

// StartCall decides on a call. A key that has an intent never gets a second one.
func (d *Desk) StartCall(now time.Time, ask CallAsk) (CallStart, []types.Record, error) {
	start, known, err := d.knownCall(ask.Intent)
	if err != nil || known {
		return start, nil, err
	}
	root, recs, err := d.pay(now, ask)
	if err != nil {
		return CallStart{}, nil, err
	}
	run := &CallRun{Intent: ask.Intent, Reserved: ask.Price, Root: root}
	d.Calls[ask.Intent.Key] = run
	recs = append(recs, d.write(types.Record{Intent: &ask.Intent})...)
	return CallStart{Run: run}, recs, nil
}

func (d *Desk) knownCall(in types.Intent) (CallStart, bool, error) {
	key, ok := d.State.Keys[in.Key]
	if !ok {
		return CallStart{}, false, nil
	}
	if key.Intent.Workspace != in.Workspace || key.Intent.Service != in.Service || !bytes.Equal(key.Intent.RequestDigest, in.RequestDigest) {
		return CallStart{}, false, fault.Refuse(fault.KeyReused, "the key belongs to another request")
	}
	if key.Outcome != nil && !key.Outcome.Unknown {
		return CallStart{Stored: key.Outcome}, true, nil
	}
	if run, ok := d.Calls[in.Key]; ok {
		return CallStart{Join: run.Run}, true, nil
	}
	return CallStart{Unknown: &key.Intent}, true, nil
}

// pay reserves the price from the purse of the call's program, if it has one.
func (d *Desk) pay(now time.Time, ask CallAsk) (string, []types.Record, error) {
	if ask.Intent.Program == "" {
		return "", nil, nil
	}
	prog, err := d.Program(ask.Intent.Program, ask.Intent.Workspace)
	if err != nil {
		return "", nil, err
	}
	if err := d.open(now, prog); err != nil {
		return "", nil, err
	}
	purse, err := d.purse(prog)
	if err != nil {
		return "", nil, err
	}
	if d.left(purse) < ask.Price {
		return "", nil, d.poor(purse)
	}
	return purse.Root, d.reserve(purse, ask.Price, ask.Chunk), nil
}

// FinishCall ends a run with its outcome. A call that was not run costs nothing.
func (d *Desk) FinishCall(run *CallRun, out types.Outcome) []types.Record {
	if d.Calls[run.Intent.Key] != run {
		return nil
	}
	delete(d.Calls, run.Intent.Key)
	spent := run.Reserved
	if out.NotRun {
		spent = 0
	}
	if run.Root != "" {
		d.settle(run.Root, run.Reserved, spent)
	}
	return d.write(types.Record{Outcome: &out})
}

// SettleCall writes the outcome that a probe found for an unknown intent.
func (d *Desk) SettleCall(out types.Outcome) []types.Record {
	key, ok := d.State.Keys[out.Key]
	if !ok || key.Intent.Attempt != out.Attempt {
		return nil
	}
	if key.Outcome != nil && !key.Outcome.Unknown {
		return nil
	}
	return d.write(types.Record{Outcome: &out})
}

// PayCall charges a repeatable call of a program at once.
func (d *Desk) PayCall(now time.Time, ask CallAsk) ([]types.Record, error) {
	root, recs, err := d.pay(now, ask)
	if err != nil || root == "" {
		return recs, err
	}
	d.settle(root, ask.Price, ask.Price)
	return recs, nil
}

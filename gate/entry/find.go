package entry

import (
	"context"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// found is what one box answered.
type found struct {
	box   string
	text  []byte
	slots []int
	err   error
}

// find asks all boxes for the turn that a call goes on from: it may be of another program,
// or its program's owner may have missed it. It returns a fault NoTurn only if the owners
// of all slots have said that they do not keep it.
func (e *Entry) find(ctx context.Context, call *work.Call, home int) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, findWait)
	defer stop()
	boxes := e.boxes.Live()
	answers := make(chan found, len(boxes))
	for _, box := range boxes {
		go func() { answers <- e.ask(ctx, box, call.Turn.Previous, home) }()
	}
	covered := map[int]bool{}
	for range boxes {
		got := <-answers
		if got.err != nil {
			e.log.Info("entry: box not asked for a turn", "id", call.ID, "other", got.box, "cause", got.err)
			continue
		}
		if got.text != nil {
			e.log.Info("entry: turn found elsewhere", "id", call.ID, "previous", call.Turn.Previous, "other", got.box)
			return got.text, nil
		}
		for _, slot := range got.slots {
			covered[slot] = true
		}
	}
	if len(covered) < e.layout.Slots() {
		return nil, fault.Refuse(fault.OwnerUnknown, "not all owners could be asked for the turn")
	}
	e.log.Info("entry: no such turn", "id", call.ID, "program", call.Turn.Program, "previous", call.Turn.Previous)
	return nil, fault.Refuse(fault.NoTurn, "the turn to go on from is not kept")
}

func (e *Entry) ask(ctx context.Context, box work.Box, turn string, home int) found {
	got := found{box: box.Name}
	if box.Name == e.self.Name {
		got.text, got.slots = e.Find(ctx, turn, home)
		return got
	}
	got.text, got.slots, got.err = e.peers.Find(ctx, box, turn, home)
	return got
}

// Find returns the text of the chain that ends with the turn if a slot of this box keeps
// it, and otherwise the slots that are sure not to. The log is asked about the program's
// home in any case, and about others where this box may have been taken for dead.
func (e *Entry) Find(ctx context.Context, turn string, home int) (text []byte, sure []int) {
	for _, slot := range e.slots.All() {
		slot.Change(func(state *chain.State) { text, _ = state.Find(turn) })
		if text != nil {
			return text, nil
		}
		if slot.Number() != home && slot.Fresh() {
			sure = append(sure, slot.Number())
			continue
		}
		if err := slot.Confirm(ctx); err != nil {
			e.log.Info("entry: owner not confirmed", "slot", slot.Number(), "cause", err)
			continue
		}
		sure = append(sure, slot.Number())
	}
	return nil, sure
}

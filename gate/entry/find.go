package entry

import (
	"context"
	"sync"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// findResult is the answer of one box to a search.
type findResult struct {
	box   string
	text  []byte
	slots []int
	err   error
}

// findPrevious asks the owners of all slots for the turn that the call continues, which may belong to another
// program. findPrevious returns a NoTurn fault only if the owners of all slots have confirmed with the log that
// they do not keep the turn. As nearly all searches succeed, they first search without that confirmation.
func (e *Entry) findPrevious(ctx context.Context, call *work.Call) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, findTimeout)
	defer stop()
	for _, confirm := range []bool{false, true} {
		s := &turnSearch{Entry: e, call: call, confirm: confirm, asked: map[string]bool{}, ruledOut: map[int]bool{}}
		for _, ranks := range []int{1, ownerCandidates} {
			if text := s.askOwners(ctx, ranks); text != nil {
				return text, nil
			}
			if len(s.ruledOut) == e.layout.Slots() {
				break
			}
		}
		if text := s.askLoggedOwners(ctx); text != nil {
			return text, nil
		}
		if len(s.ruledOut) < e.layout.Slots() {
			return nil, fault.Refuse(fault.OwnerUnavailable, "not all slot owners could be asked for the turn")
		}
	}
	e.log.Info("entry: no such turn", "id", call.ID, "program", call.Turn.Program, "previous", call.Turn.Previous)
	return nil, fault.Refuse(fault.NoTurn, "the turn to go on from is not kept")
}

// turnSearch is the state of one search for a turn.
type turnSearch struct {
	*Entry
	call *work.Call
	// confirm says that owners must confirm with the log that they still own a slot before they rule it out.
	confirm bool
	// asked holds the names of the boxes that were asked, ruledOut the slots whose owners do not keep the turn.
	asked    map[string]bool
	ruledOut map[int]bool
}

// askOwners asks up to ranks candidate owners of each slot that is not ruled out, and returns the text of the
// chain that ends with the turn, or nil.
func (s *turnSearch) askOwners(ctx context.Context, ranks int) []byte {
	return s.askBoxes(ctx, s.nextBoxes(ranks))
}

// askLoggedOwners asks the boxes that own the slots which are not ruled out yet according to the log.
func (s *turnSearch) askLoggedOwners(ctx context.Context) []byte {
	var left []int
	for slot := range s.layout.Slots() {
		if !s.ruledOut[slot] {
			left = append(left, slot)
		}
	}
	owners := make(chan work.Box, len(left))
	for _, slot := range left {
		go func() {
			owner, _ := s.slots.LookUpOwner(ctx, slot)
			owners <- owner.Box
		}()
	}
	var boxes []work.Box
	for range left {
		if box := <-owners; box.Name != "" && !s.asked[box.Name] {
			s.asked[box.Name] = true
			boxes = append(boxes, box)
		}
	}
	return s.askBoxes(ctx, boxes)
}

// askBoxes asks the boxes for the turn and returns the text of its chain, or nil.
func (s *turnSearch) askBoxes(ctx context.Context, boxes []work.Box) []byte {
	answers := make(chan findResult, len(boxes))
	for _, box := range boxes {
		go func() { answers <- s.askBox(ctx, box) }()
	}
	for range boxes {
		got := <-answers
		if got.err != nil {
			s.log.Info("entry: box did not answer the search for a turn", "id", s.call.ID, "other", got.box, "cause", got.err)
			continue
		}
		if got.text != nil {
			s.log.Info("entry: previous turn found by search", "id", s.call.ID, "previous", s.call.Turn.Previous, "other", got.box)
			return got.text
		}
		for _, slot := range got.slots {
			s.ruledOut[slot] = true
		}
	}
	return nil
}

// nextBoxes returns the boxes to ask next and marks them as asked: the first ranks candidate owners of each
// slot that is not ruled out, without those asked before.
func (s *turnSearch) nextBoxes(ranks int) []work.Box {
	var boxes []work.Box
	for slot := range s.layout.Slots() {
		if s.ruledOut[slot] {
			continue
		}
		for _, box := range s.boxes.Owners(s.layout.Name(slot), ranks) {
			if !s.asked[box.Name] {
				s.asked[box.Name] = true
				boxes = append(boxes, box)
			}
		}
	}
	return boxes
}

// askBox searches one box, which may be this one, for the turn.
func (s *turnSearch) askBox(ctx context.Context, box work.Box) findResult {
	got := findResult{box: box.Name}
	turn := s.call.QualifiedName(s.call.Turn.Previous)
	if box.Name == s.self.Name {
		got.text, got.slots = s.Find(ctx, turn, s.confirm)
		return got
	}
	if s.boxes.RecentlyUnreachable(box) {
		got.err = fault.Refuse(fault.PeerUnreachable, "a recent attempt to reach the box failed")
		return got
	}
	home := s.layout.SlotOf(s.call.QualifiedName(s.call.Turn.Program), s.call.Regions)
	got.text, got.slots, got.err = s.peers.Find(ctx, box, turn, home, s.confirm)
	if fault.Is(got.err, fault.PeerUnreachable) && ctx.Err() == nil {
		s.boxes.MarkUnreachable(box)
	}
	return got
}

// Find returns the text of the chain that ends with the turn if a slot of this box keeps it, and otherwise
// the slots that do not keep it. If confirm is set, these are only the slots that the log confirms to be owned by
// this box: another box may have taken a slot over while this one was not reachable for a moment.
func (e *Entry) Find(ctx context.Context, turn string, confirm bool) (text []byte, ruledOut []int) {
	held := e.slots.All()
	for _, slot := range held {
		slot.Update(func(state *chain.State) { text, _ = state.ChainText(turn) })
		if text != nil {
			return text, nil
		}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, slot := range held {
		all.Go(func() {
			if confirm {
				if err := slot.ConfirmOwnership(ctx); err != nil {
					e.log.Info("entry: slot ownership not confirmed", "slot", slot.Number(), "cause", err)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			ruledOut = append(ruledOut, slot.Number())
		})
	}
	all.Wait()
	return nil, ruledOut
}

package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// maxOwnerLookups is the number of attempts to find the owner of a slot for one call, and ownerRetryDelay
	// the pause between them, in which a slot handover can finish. Both are small because a late refusal is
	// of no use to the caller.
	maxOwnerLookups = 2
	ownerRetryDelay = 30 * time.Millisecond
	// ownerCandidates is how many boxes are asked in one lookup by their rank: the expected owner of the slot and its
	// successors. While the expected owner is joining, a successor still holds the slot; several boxes may
	// join at once when an availability zone comes back.
	ownerCandidates = 4
	// maxNamedOwners is how many boxes are asked in one lookup because another has named them.
	maxNamedOwners = 4
	// namedRank replaces the rank of such a box.
	namedRank = -1
)

// runOnSlot runs the turn on the box that holds the slot. Views differ for a while after changes of the fleet, so that the
// boxes that should hold the slot may not hold it. The log, which knows the owner, is asked if they name none that does.
func (e *Entry) runOnSlot(ctx context.Context, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	search := &ownerSearch{Entry: e, slot: slot, call: call, route: route, out: out}
	err := search.tryOwners(ctx)
	for try := 1; try < maxOwnerLookups && ownerNotReached(err); try++ {
		if !waitRetry(ctx) {
			return err
		}
		e.slots.LookUpOwner(ctx, slot) // it is asked first as the known owner
		err = search.tryOwners(ctx)
	}
	return err
}

// ownerSearch is the state of the attempts to run one turn on the owner of its slot.
type ownerSearch struct {
	*Entry
	slot  int
	call  *work.Call
	route *work.Route
	out   work.Answer
	// tried holds the names of the boxes that were asked in this lookup, and named counts those that another box named.
	tried map[string]bool
	named int
	// unreached holds the boxes of this lookup that could not be reached.
	unreached []work.Box
	// first is the fault of the first candidate owner.
	first error
}

// tryOwners tries the boxes that may hold the slot, the most likely one first, and those that they name. If none holds
// it, the fault of the first candidate owner is returned.
func (s *ownerSearch) tryOwners(ctx context.Context) error {
	s.tried, s.named, s.unreached, s.first = map[string]bool{}, 0, nil, nil
	// A box that is about to lose its slots holds them until their next owner asks for them.
	if s.slots.Holds(s.slot) {
		err := s.RunHere(ctx, s.slot, nil, s.call, s.route, s.out)
		if !ownerNotReached(err) {
			return err
		}
		s.learnFrom(err)
	}
	if owner, ok := s.slots.KnownOwner(s.slot); ok {
		if err := s.try(ctx, owner.Box, namedRank); !ownerNotReached(err) {
			return err
		}
	}
	for rank, box := range s.boxes.Owners(s.layout.Name(s.slot), ownerCandidates) {
		if s.tried[box.Name] {
			continue
		}
		if err := s.try(ctx, box, rank); !ownerNotReached(err) {
			return err
		}
	}
	if s.first == nil {
		return fault.Refuse(fault.OwnerUnavailable, "no box owns the slot")
	}
	return s.first
}

// try runs the turn on the box, or on the owner that it names, and so on. The result is the fault of the last box.
func (s *ownerSearch) try(ctx context.Context, box work.Box, rank int) error {
	for {
		s.tried[box.Name] = true
		err := s.runOnBox(ctx, box, rank, s.unreached, s.slot, s.call, s.route, s.out)
		if !ownerNotReached(err) {
			return err
		}
		s.slots.ForgetOwner(s.slot, box)
		if fault.Is(err, fault.PeerUnreachable) {
			s.unreached = append(s.unreached, box)
		}
		if s.first == nil {
			s.first = err
		}
		owner, ok := s.learnFrom(err)
		if !ok || s.tried[owner.Box.Name] || s.named == maxNamedOwners {
			return err
		}
		s.named++
		box, rank = owner.Box, namedRank
	}
}

// learnFrom records the owner that a refusal names, and returns it; false if it names none.
func (s *ownerSearch) learnFrom(refusal error) (work.Owner, bool) {
	var moved *work.MovedError
	if !errors.As(refusal, &moved) {
		return work.Owner{}, false
	}
	s.slots.LearnOwner(s.slot, moved.Owner)
	return moved.Owner, true
}

// runOnBox runs the turn on the given box if that box holds the slot or can take it over from the unreached boxes,
// which precede it in the ranking.
func (e *Entry) runOnBox(ctx context.Context, box work.Box, rank int, unreached []work.Box, slot int, call *work.Call, route *work.Route, out work.Answer) error {
	if box.Name == e.self.Name {
		return e.RunHere(ctx, slot, unreached, call, route, out)
	}
	if e.leavesRegions(call, box) {
		return fault.Refuse(fault.OwnerUnavailable, "the box is outside of the allowed regions")
	}
	if e.boxes.RecentlyUnreachable(box) {
		return fault.Refuse(fault.PeerUnreachable, "a recent attempt to reach the owner of the slot failed")
	}
	if err := e.checkDrain(call, route); err != nil {
		return err
	}
	e.log.Info("entry: turn forwarded", "id", call.ID, "program", call.Turn.Program, "slot", slot, "owner", box.Name, "rank", rank, "unreached", len(unreached))
	err := e.peers.Turn(ctx, box, slot, unreached, call, route, out)
	if fault.Is(err, fault.PeerUnreachable) && ctx.Err() == nil {
		e.boxes.MarkUnreachable(box)
	}
	return err
}

// waitRetry waits before the next lookup. It returns false if ctx ends first.
func waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(ownerRetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

package node

import (
	"slices"
	"sync"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

// fleetView is the part of view.View that callSenders uses.
type fleetView interface {
	Live() []work.Box
	Serving() []work.Box
	Owner(slot string) (work.Box, bool)
	Settled() bool
}

// callSenders tracks which boxes send calls to replicas: owners of slots send turns, all boxes send other
// calls.
type callSenders struct {
	self  work.Box
	fleet fleetView
	// slots holds the names of all slots.
	slots []string

	mu sync.Mutex
	// zoneBoxes holds the names of the live boxes in this availability zone; zonePlacers holds those boxes that
	// own slots, and must not be modified since callers share it.
	zoneBoxes   []string
	zonePlacers []work.Box
	// otherZonePlacers is the number of boxes in other availability zones that own slots.
	otherZonePlacers int
	// levels determines which part of the replicas each box knows.
	levels subset.Levels
}

func newCallSenders(self work.Box, fleet fleetView, slots []string) *callSenders {
	return &callSenders{self: self, fleet: fleet, slots: slots}
}

// Update recomputes the senders after the live boxes have changed.
func (s *callSenders) Update() {
	var zoneBoxes []string
	for _, box := range s.fleet.Live() {
		if box.Zone == s.self.Zone {
			zoneBoxes = append(zoneBoxes, box.Name)
		}
	}
	owners := map[string]bool{}
	var zonePlacers []work.Box
	otherZonePlacers := 0
	for _, slot := range s.slots {
		box, ok := s.fleet.Owner(slot)
		if !ok || owners[box.Name] {
			continue
		}
		owners[box.Name] = true
		if box.Zone != s.self.Zone {
			otherZonePlacers++
			continue
		}
		zonePlacers = append(zonePlacers, box)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneBoxes, s.zonePlacers, s.otherZonePlacers = zoneBoxes, zonePlacers, otherZonePlacers
}

// EffectivePlacers returns how many boxes count as placing turns on the same replicas as this one. Boxes
// without slots do not count; see sched.EffectivePlacers.
func (s *callSenders) EffectivePlacers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sched.EffectivePlacers(len(s.zonePlacers), s.otherZonePlacers)
}

// MayWarm reports whether this box is the one in its availability zone that sends calls to a cold replica.
// model says whether the replica runs a model; then only owners of slots are considered. MayWarm returns false
// while the view is not settled.
func (s *callSenders) MayWarm(rep work.Replica, model bool) bool {
	if !s.fleet.Settled() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.zoneBoxes
	if model {
		candidates = boxNames(s.zonePlacers)
	}
	knows := func(name string) bool { return s.levels.Knows(name, rep.ID, subset.Group(rep.Service, rep.Zone)) }
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return !knows(name) })
	return ident.Rendezvous(rep.ID, candidates) == s.self.Name
}

func boxNames(boxes []work.Box) []string {
	names := make([]string, 0, len(boxes))
	for _, box := range boxes {
		names = append(names, box.Name)
	}
	return names
}

// Live implements load.Boxes.
func (s *callSenders) Live() []work.Box {
	return s.fleet.Live()
}

// Serving implements load.Boxes.
func (s *callSenders) Serving() []work.Box {
	return s.fleet.Serving()
}

// PlacingBoxes implements load.Boxes.
func (s *callSenders) PlacingBoxes() []work.Box {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zonePlacers
}

// Knows implements load.Boxes.
func (s *callSenders) Knows(box work.Box, rep work.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.levels.Knows(box.Name, rep.ID, subset.Group(rep.Service, rep.Zone))
}

// KnownToAll implements load.Boxes.
func (s *callSenders) KnownToAll(rep work.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.levels[subset.Group(rep.Service, rep.Zone)] == 0
}

// SetLevels sets the levels that determine which part of the replicas each box knows.
func (s *callSenders) SetLevels(levels subset.Levels) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.levels = levels
}

const (
	// announceToAllLimit is the largest number of live boxes at which a leave is announced to all of them.
	announceToAllLimit = 200
	// holdersPerSlot is how many of a slot's highest-ranked boxes may hold it while boxes join and leave.
	holdersPerSlot = 4
)

// leaveRecipients returns the boxes to which a leave is announced. In a large fleet these are only the boxes
// that may hold a slot, since they take over slots or run forwarded turns; the others learn of the leave from
// the log. Announcing it to all would take up much of the stop.
func leaveRecipients(live []work.Box, slots []string, owners func(slot string, n int) []work.Box) []work.Box {
	if len(live) <= announceToAllLimit {
		return live
	}
	added := map[string]bool{}
	var holders []work.Box
	for _, slot := range slots {
		for _, box := range owners(slot, holdersPerSlot) {
			if !added[box.Name] {
				added[box.Name] = true
				holders = append(holders, box)
			}
		}
	}
	return holders
}

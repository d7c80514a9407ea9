package node

import (
	"slices"
	"sync"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

// fleet is the part of the view that places uses.
type fleet interface {
	Live() []work.Box
	Owner(slot string) (work.Box, bool)
	Settled() bool
}

// places knows which boxes send calls to replicas: turns are placed by the owners of slots, other calls by all.
type places struct {
	self  work.Box
	fleet fleet
	// slots are the names of all slots.
	slots []string

	mu sync.Mutex
	// near are the names of this availability zone's boxes, placing those of them that own slots.
	near    []string
	placing []work.Box
	// far counts the owners of slots elsewhere.
	far int
	// levels are those at which each box draws its part of the replicas.
	levels subset.Levels
}

func newPlaces(self work.Box, fleet fleet, slots []string) *places {
	return &places{self: self, fleet: fleet, slots: slots}
}

// Renew is called when the living boxes have changed.
func (p *places) Renew() {
	var near []string
	for _, box := range p.fleet.Live() {
		if box.Zone == p.self.Zone {
			near = append(near, box.Name)
		}
	}
	owners := map[string]bool{}
	var placing []work.Box
	far := 0
	for _, slot := range p.slots {
		box, ok := p.fleet.Owner(slot)
		if !ok || owners[box.Name] {
			continue
		}
		owners[box.Name] = true
		if box.Zone != p.self.Zone {
			far++
			continue
		}
		placing = append(placing, box)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near, p.placing, p.far = near, placing, far
}

// Placers is how many boxes count as placing turns at the same replicas as this one. In a large fleet most own no slot.
func (p *places) Placers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sched.EffectivePlacers(len(p.placing), p.far)
}

// Warms reports whether this box is the one of its availability zone that sends calls to a cold replica. A box that does
// not know who lives sends none.
func (p *places) Warms(rep work.Replica, model bool) bool {
	if !p.fleet.Settled() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	senders := p.near
	if model {
		senders = names(p.placing)
	}
	knows := func(name string) bool { return p.levels.Knows(name, rep.ID, subset.Group(rep.Service, rep.Zone)) }
	senders = slices.DeleteFunc(slices.Clone(senders), func(name string) bool { return !knows(name) })
	return ident.Rendezvous(rep.ID, senders) == p.self.Name
}

func names(boxes []work.Box) []string {
	names := make([]string, 0, len(boxes))
	for _, box := range boxes {
		names = append(names, box.Name)
	}
	return names
}

// Live implements load.Boxes.
func (p *places) Live() []work.Box {
	return p.fleet.Live()
}

// PlacingBoxes implements load.Boxes.
func (p *places) PlacingBoxes() []work.Box {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placing
}

// Knows implements load.Boxes.
func (p *places) Knows(box work.Box, rep work.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.levels.Knows(box.Name, rep.ID, subset.Group(rep.Service, rep.Zone))
}

// KnownToAll implements load.Boxes.
func (p *places) KnownToAll(rep work.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.levels[subset.Group(rep.Service, rep.Zone)] == 0
}

// Draw takes the levels at which boxes draw their parts of the replicas.
func (p *places) Draw(levels subset.Levels) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.levels = levels
}

const (
	// mostTold is the number of boxes up to which all are told that one leaves.
	mostTold = 200
	// holderRanks is how many boxes may hold a slot while boxes come and go.
	holderRanks = 4
)

// told are the boxes that a box which leaves tells of it: in a large fleet those that may hold a slot, since they come to
// hold its own or run the turns of others. The rest hears of it from the log, and is led on by those that it asks. A
// box that told a thousand others would be busy with that until its callers are gone.
func told(live []work.Box, slots []string, owners func(slot string, n int) []work.Box) []work.Box {
	if len(live) <= mostTold {
		return live
	}
	named := map[string]bool{}
	var holders []work.Box
	for _, slot := range slots {
		for _, box := range owners(slot, holderRanks) {
			if !named[box.Name] {
				named[box.Name] = true
				holders = append(holders, box)
			}
		}
	}
	return holders
}

package view

import (
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// rankCache caches the ranked owners of slots and the quota counters for one list of live boxes, since every
// call to a program looks them up.
type rankCache struct {
	live []work.Box
	// regions maps each availability zone to its region, and slotRegions each slot to its region, by name; empty if slots
	// have none.
	regions     work.Regions
	slotRegions map[string]string
	// owners holds the first cachedOwners boxes of each slot's rendezvous ranking, best first, by slot name.
	owners map[string][]work.Box
	// counters holds the box that counts a workspace's quota in a zone. Its name is empty if the zone has no
	// box.
	counters map[workspaceZone]work.Box
}

// workspaceZone identifies a workspace within an availability zone.
type workspaceZone struct{ workspace, zone string }

// cachedOwners is how many owners are cached per slot. Callers ask for more than one while boxes join and
// leave.
const cachedOwners = 4

// topOwners returns the n highest-ranked boxes for the slot.
func (r *rankCache) topOwners(live []work.Box, slot string, n int) []work.Box {
	if n > cachedOwners {
		return r.rank(live, slot, n)
	}
	r.resetIfChanged(live)
	cached, ok := r.owners[slot]
	if !ok {
		cached = r.rank(live, slot, cachedOwners)
		r.owners[slot] = cached
	}
	return cached[:min(n, len(cached)):min(n, len(cached))]
}

// rank returns the n highest-ranked boxes for the slot: those of its region, then all others.
func (r *rankCache) rank(live []work.Box, slot string, n int) []work.Box {
	region, ok := r.slotRegions[slot]
	if !ok {
		return rankOwners(live, slot, n)
	}
	var own, others []work.Box
	for _, box := range live {
		if r.regions[box.Zone] == region {
			own = append(own, box)
		} else {
			others = append(others, box)
		}
	}
	ranked := rankOwners(own, slot, n)
	return append(ranked, rankOwners(others, slot, n-len(ranked))...)
}

// resetIfChanged clears the cache if the list of live boxes was replaced.
func (r *rankCache) resetIfChanged(live []work.Box) {
	if r.owners == nil || !sameSlice(r.live, live) {
		r.live, r.owners, r.counters = live, map[string][]work.Box{}, map[workspaceZone]work.Box{}
	}
}

// quotaCounter returns the zone's highest-ranked box for the workspace; false if the zone has no live box.
func (r *rankCache) quotaCounter(live []work.Box, workspace, zone string) (work.Box, bool) {
	r.resetIfChanged(live)
	key := workspaceZone{workspace, zone}
	if box, ok := r.counters[key]; ok {
		return box, box.Name != ""
	}
	var zoneBoxes []work.Box
	for _, box := range live {
		if box.Zone == zone {
			zoneBoxes = append(zoneBoxes, box)
		}
	}
	var winner work.Box
	if first := rankOwners(zoneBoxes, workspace, 1); len(first) > 0 {
		winner = first[0]
	}
	r.counters[key] = winner
	return winner, winner.Name != ""
}

// sameSlice reports whether both slices share their backing array and length, not only their contents.
func sameSlice(a, b []work.Box) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rankOwners returns the n highest-ranked boxes for the slot by weighted rendezvous hashing.
func rankOwners(live []work.Box, slot string, n int) []work.Box {
	var owners []work.Box
	for _, i := range ident.WeightedRendezvousTop(slot, len(live), func(i int) (string, float64) { return live[i].Name, slotWeight(live[i]) }, n) {
		owners = append(owners, live[i])
	}
	return owners
}

const (
	// turnCoreMillis is the processor time that a turn costs its owner, in core milliseconds; turnMbits is the
	// data that it transfers, in Mbit. They only set the relative weight of processor and link.
	turnCoreMillis = 2
	turnMbits      = 0.2
)

// slotWeight returns the box's weight in the ranking of owners. It grows with the square of the box's speed: on
// a slower box turns take longer, each slot uses more of the capacity, and reading a slot after a takeover
// takes longer too. Of 195 boxes with 48 slots, 156 of which have a quarter of the others' processor and a
// twentieth of their link, those 156 own 5 slots with it and 38 without.
func slotWeight(box work.Box) float64 {
	cost := 0.0
	if box.Cores > 0 {
		cost += turnCoreMillis / box.Cores
	}
	if box.Link > 0 {
		const milliseconds = 1000
		cost += milliseconds * turnMbits / box.Link
	}
	if cost == 0 {
		return 1
	}
	return 1 / (cost * cost)
}

// QuotaCounter returns the box that counts the workspace's quota in the availability zone; false if the zone has no
// live box.
func (v *View) QuotaCounter(workspace, zone string) (work.Box, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rankCache.quotaCounter(v.live, workspace, zone)
}

// SetSlotRegions sets the region of each availability zone, and of each slot by its name. It must be called before Start.
func (v *View) SetSlotRegions(regions work.Regions, slots map[string]string) {
	v.rankCache.regions, v.rankCache.slotRegions = regions, slots
}

// Owner returns the live box that should own the slot, by weighted rendezvous hashing; false if there is none.
func (v *View) Owner(slot string) (work.Box, bool) {
	owners := v.Owners(slot, 1)
	if len(owners) == 0 {
		return work.Box{}, false
	}
	return owners[0], true
}

// Owners returns up to n live boxes for the slot, best first. The first should own the slot; after it has just
// joined, the second may still hold the slot.
func (v *View) Owners(slot string, n int) []work.Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rankCache.topOwners(v.live, slot, n)
}

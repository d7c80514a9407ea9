package shard

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mulleingate.dev/gate/work"
)

// Layout maps programs to slots. All boxes must use the same number of slots and know the same regions.
type Layout struct {
	slots int
	// regions holds the regions, sorted, if there are several and a slot for each. A slot has the region of its number.
	regions []string
}

// NewLayout returns a layout of at least one slot.
func NewLayout(slots int) Layout {
	return Layout{slots: max(slots, 1)}
}

// WithRegions returns the layout with slots for each region. A slot's boxes are those of its region while one of them is live,
// so that programs which must stay in a region have slots there.
func (l Layout) WithRegions(regions work.Regions) Layout {
	all := slices.Compact(slices.Sorted(maps.Values(regions)))
	if len(all) > 1 && len(all) <= l.slots {
		l.regions = all
	}
	return l
}

// Region returns the region of a slot; empty if slots have none.
func (l Layout) Region(slot int) string {
	if len(l.regions) == 0 {
		return ""
	}
	return l.regions[slot%len(l.regions)]
}

// Regions returns the region of each slot by the slot's name; nil if slots have none.
func (l Layout) Regions() map[string]string {
	if len(l.regions) == 0 {
		return nil
	}
	all := map[string]string{}
	for slot := range l.slots {
		all[l.Name(slot)] = l.Region(slot)
	}
	return all
}

// Slots returns the number of slots.
func (l Layout) Slots() int {
	return l.slots
}

// Names returns the names of all slots.
func (l Layout) Names() []string {
	names := make([]string, 0, l.slots)
	for slot := range l.slots {
		names = append(names, l.Name(slot))
	}
	return names
}

// Name returns the name of a slot in rendezvous hashing and in log messages.
func (l Layout) Name(slot int) string {
	return "slot-" + strconv.Itoa(slot)
}

// SlotOf returns the slot of a program that may run in the allowed regions; in all if there are none. It changes only if
// these do, since two slots count the program's budget separately.
func (l Layout) SlotOf(program string, allowed []string) int {
	hash := xxhash.Sum64String(program)
	var fitting []int
	for slot := range l.slots {
		if slices.Contains(allowed, l.Region(slot)) {
			fitting = append(fitting, slot)
		}
	}
	if len(allowed) == 0 || len(l.regions) == 0 || len(fitting) == 0 {
		return int(hash % uint64(l.slots))
	}
	return fitting[hash%uint64(len(fitting))]
}

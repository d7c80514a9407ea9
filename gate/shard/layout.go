package shard

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Layout deals slots to availability zones: slot n belongs to zone n modulo their number.
type Layout struct {
	zones []string
	slots int
}

// NewLayout makes the layout. All boxes must be given the same zones and number of slots.
func NewLayout(zones []string, slots int) Layout {
	sorted := append([]string(nil), zones...)
	sort.Strings(sorted)
	return Layout{zones: sorted, slots: max(slots, len(sorted))}
}

// Slots is the number of slots.
func (l Layout) Slots() int {
	return l.slots
}

// Zone is the availability zone that a slot belongs to.
func (l Layout) Zone(slot int) string {
	return l.zones[slot%len(l.zones)]
}

// Name is the name of a slot in rendezvous and logs.
func (l Layout) Name(slot int) string {
	return "slot-" + strconv.Itoa(slot)
}

// Homes are the slots where a program may live: one in each availability zone, that of the
// given zone first. A program lives where its first turn came in.
func (l Layout) Homes(program, zone string) []int {
	n := len(l.zones)
	hash := xxhash.Sum64String(program)
	var homes []int
	for i := range n {
		count := (l.slots - i + n - 1) / n
		slot := int(hash%uint64(count))*n + i
		if l.zones[i] == zone {
			homes = append([]int{slot}, homes...)
		} else {
			homes = append(homes, slot)
		}
	}
	return homes
}

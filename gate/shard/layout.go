package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Layout maps programs to slots. All boxes must use the same number of slots.
type Layout struct {
	slots int
}

// NewLayout returns a layout of at least one slot.
func NewLayout(slots int) Layout {
	return Layout{slots: max(slots, 1)}
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

// SlotOf returns the slot of a program. It never changes, since two slots would count the program's
// budget separately.
func (l Layout) SlotOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(l.slots))
}

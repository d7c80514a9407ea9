package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Layout deals programs to slots. All boxes must be given the same number of slots.
type Layout struct {
	slots int
}

// NewLayout makes the layout.
func NewLayout(slots int) Layout {
	return Layout{slots: max(slots, 1)}
}

// Slots is the number of slots.
func (l Layout) Slots() int {
	return l.slots
}

// Names are the names of all slots.
func (l Layout) Names() []string {
	names := make([]string, 0, l.slots)
	for slot := range l.slots {
		names = append(names, l.Name(slot))
	}
	return names
}

// Name is the name of a slot in rendezvous and logs.
func (l Layout) Name(slot int) string {
	return "slot-" + strconv.Itoa(slot)
}

// Home is the slot of a program. It has one for good: two would count its budget apart.
func (l Layout) Home(program string) int {
	return int(xxhash.Sum64String(program) % uint64(l.slots))
}

package node

import (
	"fmt"
	"slices"
	"testing"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// fakeFleet is a fake view with the given live boxes and owners of slots.
type fakeFleet struct {
	live    []work.Box
	owners  map[string]work.Box
	settled bool
}

func (f fakeFleet) Live() []work.Box                   { return f.live }
func (f fakeFleet) Owner(slot string) (work.Box, bool) { box, ok := f.owners[slot]; return box, ok }
func (f fakeFleet) Serving() []work.Box                { return f.live }
func (f fakeFleet) Settled() bool                      { return f.settled }

// TestOneBoxPerZoneWarmsReplica checks that of boxes with the same view exactly one in each availability zone
// sends calls to a cold replica, an owner of slots if the replica runs a model, and none whose view is not
// settled.
func TestOneBoxPerZoneWarmsReplica(t *testing.T) {
	fleet := fakeFleet{owners: map[string]work.Box{}, settled: true}
	for i := range 12 {
		box := work.Box{Name: fmt.Sprintf("b%d", i), Zone: string(rune('a' + i%3))}
		fleet.live = append(fleet.live, box)
		if i < 6 {
			fleet.owners[fmt.Sprintf("slot-%d", i)] = box
		}
	}
	slots := []string{"slot-0", "slot-1", "slot-2", "slot-3", "slot-4", "slot-5"}
	for _, model := range []bool{true, false} {
		for n := range 20 {
			rep := work.Replica{ID: fmt.Sprintf("r%d", n)}
			senders := map[string]int{}
			for i, box := range fleet.live {
				s := newCallSenders(box, fleet, slots)
				s.Update()
				if !s.MayWarm(rep, model) {
					continue
				}
				senders[box.Zone]++
				if model && i >= 6 {
					t.Errorf("%s sends turns to %s but owns no slot", box.Name, rep.ID)
				}
			}
			if senders["a"] != 1 || senders["b"] != 1 || senders["c"] != 1 {
				t.Errorf("%s, runs a model %v: senders by zone %v, want one each", rep.ID, model, senders)
			}
		}
	}
	fleet.settled = false
	for _, box := range fleet.live {
		s := newCallSenders(box, fleet, slots)
		s.Update()
		if s.MayWarm(work.Replica{ID: "r0"}, false) {
			t.Errorf("%s sends calls to a cold replica while its view is not settled", box.Name)
		}
	}
}

// TestLeaveRecipientsAreBounded checks that a leave is announced to all boxes of a small fleet, and in a large
// one only to those that may hold slots.
func TestLeaveRecipientsAreBounded(t *testing.T) {
	slots := make([]string, 48)
	for i := range slots {
		slots[i] = fmt.Sprintf("slot-%d", i)
	}
	for _, n := range []int{100, 1000, 2000} {
		var live []work.Box
		for i := range n {
			live = append(live, work.Box{Name: fmt.Sprintf("b%d", i)})
		}
		owners := func(slot string, most int) []work.Box {
			var boxes []work.Box
			for _, i := range ident.RendezvousTop(slot, n, func(i int) string { return live[i].Name }, most) {
				boxes = append(boxes, live[i])
			}
			return boxes
		}
		got := leaveRecipients(live, slots, owners)
		if n <= announceToAllLimit && len(got) != n {
			t.Errorf("leave announced to %d of %d boxes, want all", len(got), n)
		}
		if len(got) > len(slots)*holdersPerSlot {
			t.Errorf("leave announced to %d of %d boxes, want only holders of slots", len(got), n)
		}
		for _, slot := range slots {
			for _, box := range owners(slot, holdersPerSlot) {
				if !slices.Contains(got, box) {
					t.Errorf("%s may hold %s but gets no announcement", box.Name, slot)
				}
			}
		}
	}
}

package node

import (
	"fmt"
	"slices"
	"testing"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// herd is living boxes, the first few of which own one slot each.
type herd struct {
	live    []work.Box
	owners  map[string]work.Box
	settled bool
}

func (h herd) Live() []work.Box                   { return h.live }
func (h herd) Owner(slot string) (work.Box, bool) { box, ok := h.owners[slot]; return box, ok }
func (h herd) Settled() bool                      { return h.settled }

// TestOneBoxOfAZoneWarms checks that of boxes which see the same fleet one of each availability zone sends to a cold
// replica, among those that place turns if it runs turns; and none that does not know who lives.
func TestOneBoxOfAZoneWarms(t *testing.T) {
	h := herd{owners: map[string]work.Box{}, settled: true}
	for i := range 12 {
		box := work.Box{Name: fmt.Sprintf("b%d", i), Zone: string(rune('a' + i%3))}
		h.live = append(h.live, box)
		if i < 6 {
			h.owners[fmt.Sprintf("slot-%d", i)] = box
		}
	}
	slots := []string{"slot-0", "slot-1", "slot-2", "slot-3", "slot-4", "slot-5"}
	for _, model := range []bool{true, false} {
		for n := range 20 {
			rep := work.Replica{ID: fmt.Sprintf("r%d", n)}
			senders := map[string]int{}
			for i, box := range h.live {
				p := newPlaces(box, h, slots)
				p.Renew()
				if !p.Warms(rep, model) {
					continue
				}
				senders[box.Zone]++
				if model && i >= 6 {
					t.Errorf("%s sends turns to %s and owns no slot", box.Name, rep.ID)
				}
			}
			if senders["a"] != 1 || senders["b"] != 1 || senders["c"] != 1 {
				t.Errorf("%s, turns %v: %v send", rep.ID, model, senders)
			}
		}
	}
	h.settled = false
	for _, box := range h.live {
		p := newPlaces(box, h, slots)
		p.Renew()
		if p.Warms(work.Replica{ID: "r0"}, false) {
			t.Errorf("%s sends and does not know who lives", box.Name)
		}
	}
}

// TestFewAreToldOfALeave checks that a box of a large fleet tells only those that may hold slots, and one of a small fleet
// all.
func TestFewAreToldOfALeave(t *testing.T) {
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
		got := told(live, slots, owners)
		if n <= mostTold && len(got) != n {
			t.Errorf("%d of %d boxes are told", len(got), n)
		}
		if len(got) > len(slots)*holderRanks {
			t.Errorf("%d of %d boxes are told", len(got), n)
		}
		for _, slot := range slots {
			for _, box := range owners(slot, holderRanks) {
				if !slices.Contains(got, box) {
					t.Errorf("%s may hold %s and is not told", box.Name, slot)
				}
			}
		}
	}
}

package shard

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// TestBoundProgramsHaveSlotsInTheirRegions guards against programs that must stay in a region and get a slot whose owner is a
// box of another one.
func TestBoundProgramsHaveSlotsInTheirRegions(t *testing.T) {
	layout := NewLayout(24).WithRegions(work.Regions{"a": "north", "b": "south", "c": "south", "d": "west"})
	used := map[string]map[int]bool{"": {}, "north": {}, "south": {}}
	for n := range 1000 {
		name := "p" + strconv.Itoa(n)
		used[""][layout.SlotOf(name, nil)] = true
		for _, region := range []string{"north", "south"} {
			slot := layout.SlotOf(name, []string{region})
			used[region][slot] = true
			if got := layout.Region(slot); got != region {
				t.Fatalf("a program bound to %s has a slot of %s", region, got)
			}
		}
		if got := layout.Region(layout.SlotOf(name, []string{"north", "west"})); got == "south" {
			t.Fatalf("a program bound to north and west has a slot of %s", got)
		}
	}
	if diff := cmp.Diff([]int{24, 8, 8}, []int{len(used[""]), len(used["north"]), len(used["south"])}); diff != "" {
		t.Errorf("slots in use (-want +got):\n%s", diff)
	}
}

// TestLayoutWithoutRegions checks that slots have no regions if there is only one, or fewer slots than regions, and that a
// program without bounds has the same slot in any case.
func TestLayoutWithoutRegions(t *testing.T) {
	two := work.Regions{"a": "north", "b": "south"}
	for _, layout := range []Layout{NewLayout(24), NewLayout(24).WithRegions(work.Regions{"a": "north", "b": "north"}), NewLayout(1).WithRegions(two)} {
		if layout.Regions() != nil || layout.SlotOf("p", []string{"north"}) != layout.SlotOf("p", nil) {
			t.Errorf("%+v: regions %v", layout, layout.Regions())
		}
	}
	if got, want := NewLayout(24).WithRegions(two).SlotOf("p", nil), NewLayout(24).SlotOf("p", nil); got != want {
		t.Errorf("slot %d, want %d", got, want)
	}
}

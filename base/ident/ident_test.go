package ident

import (
	"sort"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRendezvousTop compares RendezvousTop with a full sort by weight, and its first name with Rendezvous.
func TestRendezvousTop(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, "box-"+strconv.Itoa(i))
	}
	for _, key := range []string{"slot-0", "slot-1", "slot-2"} {
		want := append([]string(nil), names...)
		sort.Slice(want, func(i, j int) bool { return Weight(key, want[i]) > Weight(key, want[j]) })
		for _, n := range []int{0, 1, 4, 40, 50} {
			var got []string
			for _, i := range RendezvousTop(key, len(names), func(i int) string { return names[i] }, n) {
				got = append(got, names[i])
			}
			if diff := cmp.Diff(append([]string(nil), want[:min(n, len(want))]...), got); diff != "" {
				t.Errorf("RendezvousTop with n = %d for key %s (-want +got):\n%s", n, key, diff)
			}
		}
		if got := Rendezvous(key, names); got != want[0] {
			t.Errorf("Rendezvous for key %s is %s, want %s", key, got, want[0])
		}
	}
}

// TestWeightedRendezvousTop checks that names get keys in proportion to their shares, that equal
// shares give the result of RendezvousTop, and that removing a name moves only its own keys.
func TestWeightedRendezvousTop(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, "box-"+strconv.Itoa(i))
	}
	const keys = 20_000
	unequal := func(i int) (string, float64) {
		if i < 8 {
			return names[i], 4
		}
		return names[i], 1
	}
	equal := func(i int) (string, float64) { return names[i], 1 }
	first := 0
	for key := range keys {
		key := strconv.Itoa(key)
		ranks := WeightedRendezvousTop(key, len(names), unequal, 2)
		if ranks[0] < 8 {
			first++
		}
		if diff := cmp.Diff(RendezvousTop(key, len(names), func(i int) string { return names[i] }, 3), WeightedRendezvousTop(key, len(names), equal, 3)); diff != "" {
			t.Fatalf("WeightedRendezvousTop for key %s with equal shares (-want +got):\n%s", key, diff)
		}
		without := WeightedRendezvousTop(key, len(names)-1, unequal, 1)[0]
		if ranks[0] != len(names)-1 && without != ranks[0] {
			t.Errorf("key %s moves from %d to %d though neither was removed", key, ranks[0], without)
		}
	}
	if got := float64(first) / keys; got < 0.48 || got > 0.52 {
		t.Errorf("eight names with half of all shares get %.3f of the keys, want about half", got)
	}
}

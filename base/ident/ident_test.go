package ident

import (
	"sort"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestClosest checks the choice against a whole sort by weight, and that it begins with the
// winner.
func TestClosest(t *testing.T) {
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
				t.Errorf("the %d closest to %s (-want +got):\n%s", n, key, diff)
			}
		}
		if got := Rendezvous(key, names); got != want[0] {
			t.Errorf("the winner for %s is %s, not %s", key, got, want[0])
		}
	}
}

// TestShared checks that names are chosen by their shares, that equal shares choose as no shares do, and
// that a name which goes moves only its own keys.
func TestShared(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, "box-"+strconv.Itoa(i))
	}
	const keys = 20_000
	large := func(i int) (string, float64) {
		if i < 8 {
			return names[i], 4
		}
		return names[i], 1
	}
	equal := func(i int) (string, float64) { return names[i], 1 }
	first := 0
	for key := range keys {
		key := strconv.Itoa(key)
		ranks := WeightedRendezvousTop(key, len(names), large, 2)
		if ranks[0] < 8 {
			first++
		}
		if diff := cmp.Diff(RendezvousTop(key, len(names), func(i int) string { return names[i] }, 3), WeightedRendezvousTop(key, len(names), equal, 3)); diff != "" {
			t.Fatalf("key %s with equal shares (-want +got):\n%s", key, diff)
		}
		without := WeightedRendezvousTop(key, len(names)-1, large, 1)[0]
		if ranks[0] != len(names)-1 && without != ranks[0] {
			t.Errorf("key %s moves from %d to %d though neither went", key, ranks[0], without)
		}
	}
	if got := float64(first) / keys; got < 0.48 || got > 0.52 {
		t.Errorf("eight names with half of all shares get %.3f of the keys", got)
	}
}

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
			for _, i := range Closest(key, len(names), func(i int) string { return names[i] }, n) {
				got = append(got, names[i])
			}
			if diff := cmp.Diff(append([]string(nil), want[:min(n, len(want))]...), got); diff != "" {
				t.Errorf("the %d closest to %s (-want +got):\n%s", n, key, diff)
			}
		}
		if got := Winner(key, names); got != want[0] {
			t.Errorf("the winner for %s is %s, not %s", key, got, want[0])
		}
	}
}

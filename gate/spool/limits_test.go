package spool

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDefaultLimits checks the defaults by the memory of the box, and that limits which are set stay. Without a bound
// that follows the memory, slow callers end the process of a small box.
func TestDefaultLimits(t *testing.T) {
	const kb, mb = 1 << 10, 1 << 20
	for _, c := range []struct {
		name   string
		set    Limits
		memory int64
		want   Limits
	}{
		{"small box", Limits{}, 112 * mb, Limits{Answer: 224 * kb, Connection: 448 * kb, Workspace: 1792 * kb, Box: 7 * mb}},
		{"large box", Limits{}, 536 * mb, Limits{Answer: 1072 * kb, Connection: 2144 * kb, Workspace: 8576 * kb, Box: 33*mb + 512*kb}},
		{"unknown memory", Limits{}, 0, Limits{Answer: 224 * kb, Connection: 448 * kb, Workspace: 1792 * kb, Box: 7 * mb}},
		{"tiny box", Limits{}, 8 * mb, Limits{Answer: 64 * kb, Connection: 64 * kb, Workspace: 128 * kb, Box: 512 * kb}},
		{"set", Limits{Answer: 1, Connection: 2, Workspace: 3, Box: 4}, 112 * mb, Limits{Answer: 1, Connection: 2, Workspace: 3, Box: 4}},
	} {
		if diff := cmp.Diff(c.want, c.set.Fill(c.memory)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestAllows checks each limit: the bytes that reach it are kept, one more is not, and the limit of a workspace does
// not join callers that belong to none.
func TestAllows(t *testing.T) {
	limits := Limits{Answer: 10, Connection: 20, Workspace: 30, Box: 40}
	for _, c := range []struct {
		name string
		used Usage
		want bool
	}{
		{"none", Usage{}, true},
		{"answer at limit", Usage{Answer: 9}, true},
		{"answer", Usage{Answer: 10}, false},
		{"connection at limit", Usage{Connection: 19}, true},
		{"connection", Usage{Connection: 20}, false},
		{"workspace at limit", Usage{Named: true, Workspace: 29}, true},
		{"workspace", Usage{Named: true, Workspace: 30}, false},
		{"no workspace", Usage{Workspace: 30}, true},
		{"box at limit", Usage{Box: 39}, true},
		{"box", Usage{Box: 40}, false},
	} {
		if got := limits.Allows(c.used, 1); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRefusesLeastUrgentFirst checks at which use of the box's limit calls of each priority are refused: never a
// more urgent one while a less urgent one is admitted, none below three quarters, and all just below the limit, which
// is never reached exactly.
func TestRefusesLeastUrgentFirst(t *testing.T) {
	limits := Limits{Box: 1000}
	got := map[int]int64{}
	for _, priority := range []int{0, 1, 3, 9, 100} {
		for !limits.Refuses(got[priority], priority) {
			got[priority]++
		}
	}
	if diff := cmp.Diff(map[int]int64{0: 950, 1: 850, 3: 800, 9: 770, 100: 752}, got); diff != "" {
		t.Errorf("bytes from which a priority is refused (-want +got):\n%s", diff)
	}
}

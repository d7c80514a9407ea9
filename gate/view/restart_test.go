package view

import (
	"io"
	"log/slog"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// boxAt returns a box of the given incarnation.
func boxAt(name, incarnation string) work.Box {
	return work.Box{Name: name, Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: incarnation}
}

// applyLists returns a view that has read the lists, one after the other, a heartbeat apart.
func applyLists(lists ...[]work.Box) *View {
	v := New(boxAt("self", "1"), nil, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	v.answeringSince = time.Now().Add(-time.Minute)
	for generation, list := range lists {
		var members []string
		for _, box := range list {
			members = append(members, box.Member())
		}
		v.applyMembers(int64(generation), members)
		v.update(time.Now())
		time.Sleep(v.timing.HeartbeatInterval)
	}
	return v
}

// TestRestartedBoxStaysInView guards against a box that takes the earlier incarnation of another, which is still listed,
// for the current one: the other box then counts as dead once that expires.
func TestRestartedBoxStaysInView(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for name, incarnations := range map[string][2]string{
		"ordered":        {work.NewIncarnation(start), work.NewIncarnation(start.Add(time.Second))},
		"clock set back": {work.NewIncarnation(start), work.NewIncarnation(start.Add(-time.Hour))},
		"without a time": {"4f2a", "19bc"},
	} {
		older, newer := boxAt("b", incarnations[0]), boxAt("b", incarnations[1])
		for number, lists := range [][][]work.Box{
			{{older, newer}, {newer}},
			{{newer, older}, {newer}},
			{{newer, older}, {older, newer}, {newer, older}, {newer}},
			{{older}, {newer, older}, {older, newer}, {newer}},
			{{older}, {older, newer}, {older}, {newer}},
			{{older}, {newer}, {older}, {newer}},
		} {
			t.Run(name+" "+strconv.Itoa(number), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for n := range lists {
						if diff := cmp.Diff([]string{"b", "self"}, liveNames(applyLists(lists[:n+1]...))); diff != "" {
							t.Errorf("live boxes after list %d (-want +got):\n%s", n, diff)
						}
					}
					if _, ok := applyLists(lists...).Find("b", newer.Incarnation); !ok {
						t.Error("the current incarnation is not known")
					}
				})
			})
		}
	}
}

// TestNewIncarnationIsUsedAtOnce checks that a view which knew a box before its restart takes the new incarnation from the
// first list that has it.
func TestNewIncarnationIsUsedAtOnce(t *testing.T) {
	older, newer := boxAt("b", "4f2a"), boxAt("b", "19bc")
	for _, last := range [][]work.Box{{older, newer}, {newer, older}} {
		synctest.Test(t, func(t *testing.T) {
			if _, ok := applyLists([]work.Box{older}, last).Find("b", newer.Incarnation); !ok {
				t.Error("the current incarnation is not known")
			}
		})
	}
}

// TestIncarnationsAreOrdered checks that of two listed incarnations with times the later one counts, even if it appears in
// the view first.
func TestIncarnationsAreOrdered(t *testing.T) {
	older := boxAt("b", work.NewIncarnation(time.UnixMilli(1_000_000)))
	newer := boxAt("b", work.NewIncarnation(time.UnixMilli(1_000_001)))
	for _, lists := range [][][]work.Box{{{older, newer}}, {{newer, older}}, {{newer}, {newer, older}}, {{newer}, {older, newer}}} {
		synctest.Test(t, func(t *testing.T) {
			if _, ok := applyLists(lists...).Find("b", newer.Incarnation); !ok {
				t.Errorf("the current incarnation is not known after %v", lists)
			}
		})
	}
}

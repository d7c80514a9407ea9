package sched

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleingate.dev/base/fixed"
)

func candidate(name string, running, cached int) Candidate {
	return Candidate{
		Name: name, Running: running, MaxBatch: 8, PrefillRate: 10_000, Step: 5 * time.Millisecond, Slowdown: 1,
		CacheUsed: 10, CacheSize: 100, CachedTokens: cached, HasRoom: true, OutputTokens: int64(20 * running),
	}
}

func pick(req PlacementRequest, cands ...Candidate) string {
	i, _ := Pick(Scored, req, cands, rand.New(rand.NewPCG(1, 2)))
	if i < 0 {
		return ""
	}
	return cands[i].Name
}

// TestPickWeighsPrefixAgainstQueue checks the choice between a target that caches the prefix and an idle
// one.
func TestPickWeighsPrefixAgainstQueue(t *testing.T) {
	req := PlacementRequest{Program: "p", PromptTokens: 2000, ExpectedTokens: 20}
	full := candidate("held", 8, 2000)
	full.HasRoom = false
	cases := []struct {
		name string
		want string
		held Candidate
	}{
		{"the prefix wins over a few streams", "held", candidate("held", 6, 2000)},
		{"a long queue wins over the prefix", "free", candidate("held", 60, 2000)},
		{"the call waits for a full engine with the prefix", "", full},
		{"without a prefix the less busy engine wins", "free", candidate("held", 6, 0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, pick(req, c.held, candidate("free", 0, 0))); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPickSpreadsEqualTargets checks that boxes with the same stale reports don't all choose the
// same target.
func TestPickSpreadsEqualTargets(t *testing.T) {
	got := map[string]int{}
	for box := range 12 {
		rng := rand.New(rand.NewPCG(uint64(box), 1))
		cands := []Candidate{candidate("a", 2, 0), candidate("b", 2, 0), candidate("c", 2, 0)}
		i, _ := Pick(Scored, PlacementRequest{PromptTokens: 100, ExpectedTokens: 10}, cands, rng)
		got[cands[i].Name]++
	}
	for name, n := range got {
		if n > 8 {
			t.Errorf("%d of 12 boxes chose %s, want at most 8", n, name)
		}
	}
}

func TestMain(m *testing.M) {
	os.Exit(fixed.Main(m, "1000"))
}

// TestPickRequiresRoom checks that no strategy chooses a target without room, and that each
// baseline strategy chooses one if any has room.
func TestPickRequiresRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(rt, "n")
		cands := make([]Candidate, n)
		room := false
		for i := range cands {
			c := candidate(string(rune('a'+i)), rapid.IntRange(0, 20).Draw(rt, "running"), rapid.IntRange(0, 500).Draw(rt, "cached"))
			c.HasRoom = rapid.Bool().Draw(rt, "room")
			room = room || c.HasRoom
			cands[i] = c
		}
		req := PlacementRequest{Program: "p", PromptTokens: 500, ExpectedTokens: 20}
		for _, strategy := range Strategies() {
			i, scored := Pick(strategy, req, cands, rand.New(rand.NewPCG(3, 4)))
			if i >= 0 && !cands[i].HasRoom {
				rt.Fatalf("%s chose %s, which has no room", strategy, cands[i].Name)
			}
			if i < 0 && room && strategy != Scored {
				rt.Fatalf("%s chose no target though one has room", strategy)
			}
			if len(scored) != n {
				rt.Fatalf("%d of %d candidates have a score", len(scored), n)
			}
		}
	})
}

// TestRank checks that each order ranks the expected program first, and that a higher priority ranks
// above all.
func TestRank(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	old := ProgramProgress{Started: now, Arrived: now.Add(time.Minute), Attained: 5000}
	young := ProgramProgress{Started: now.Add(time.Second), Arrived: now.Add(2 * time.Second), Attained: 10}
	urgent := young
	urgent.Priority = 1
	cases := []struct {
		order Order
		first ProgramProgress
		then  ProgramProgress
	}{
		{OldestProgram, old, young},
		{Attained, young, old},
		{Fifo, young, old},
		{OldestProgram, urgent, old},
		{Attained, urgent, old},
	}
	for _, c := range cases {
		if Rank(c.order, c.first) <= Rank(c.order, c.then) {
			t.Errorf("order %s: %+v does not rank above %+v", c.order, c.first, c.then)
		}
	}
}

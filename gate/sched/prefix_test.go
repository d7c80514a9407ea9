package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleingate.dev/gate/work"
)

const (
	testPrefix = 12_600
	testMemory = 290_828
)

// prefixReplicas returns n replicas of a zone.
func prefixReplicas(zone string, n int) []PrefixReplica {
	replicas := make([]PrefixReplica, n)
	for i := range replicas {
		replicas[i] = PrefixReplica{ID: fmt.Sprintf("%s%d", zone, i), Zone: zone, Slowdown: 1}
	}
	return replicas
}

// skewed returns the shares of n parts: 1, 1/2, 1/3 and so on, scaled to a sum of 1.
func skewed(n int) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// prefixBox is a box that sees calls.
type prefixBox struct {
	*Prefixes
	rng *rand.Rand
}

func newPrefixBox(seed uint64) *prefixBox {
	return &prefixBox{Prefixes: NewPrefixes(), rng: rand.New(rand.NewPCG(seed, 1))}
}

// see observes calls until a time, at a rate per second, and assigns the parts every 300 ms.
func (b *prefixBox) see(from, until time.Time, rate float64, shares []float64, replicas []PrefixReplica) {
	for now := from; now.Before(until); now = now.Add(time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))) {
		part, draw := 0, b.rng.Float64()
		for part < len(shares)-1 && draw >= shares[part] {
			draw -= shares[part]
			part++
		}
		program := fmt.Sprintf("program%d", b.rng.Uint64())
		b.Observe(now, program, []work.Part{{ID: fmt.Sprintf("part%d", part), Tokens: testPrefix}, {ID: program, Tokens: 1000}})
		if now.Sub(b.assignedAt) >= 300*time.Millisecond {
			b.Assign(now, testMemory, replicas)
		}
	}
	b.Assign(until, testMemory, replicas)
}

// preferredByPart returns the sorted preferred replicas of each part.
func (p *Prefixes) preferredByPart(parts int, replicas []PrefixReplica) [][]string {
	byPart := make([][]string, parts)
	for i := range byPart {
		for _, rep := range replicas {
			if rank, ok := p.Rank(fmt.Sprintf("part%d", i), rep.ID); ok && rank.Preferred {
				byPart[i] = append(byPart[i], rep.ID)
			}
		}
		slices.Sort(byPart[i])
	}
	return byPart
}

// missingFrom counts the names that are not in other.
func missingFrom(names, other []string) int {
	n := 0
	for _, name := range names {
		if !slices.Contains(other, name) {
			n++
		}
	}
	return n
}

// TestPreferredFollowSkewedDemand guards against a common prefix on too few replicas, a rare one without
// any, and assignments that leave a replica without prefixes.
func TestPreferredFollowSkewedDemand(t *testing.T) {
	box, replicas := newPrefixBox(1), prefixReplicas("a", 15)
	box.see(testStart, testStart.Add(6*time.Second), 300, skewed(16), replicas)
	byPart := box.preferredByPart(16, replicas)
	perReplica := map[string]int{}
	for i, names := range byPart {
		need := prefixHeadroom * 15 * skewed(16)[i]
		if n := float64(len(names)); n < 1 || n < 0.6*need || n > 1.4*need+1.5 {
			t.Errorf("part %d has %d preferred replicas, needs %.1f", i, len(names), need)
		}
		for _, name := range names {
			perReplica[name]++
		}
	}
	for _, rep := range replicas {
		if n := perReplica[rep.ID]; n < 1 || n > 5 {
			t.Errorf("%s is preferred for %d parts", rep.ID, n)
		}
	}
}

// TestPreferredFollowShiftOfDemand guards against assignments that lag behind demand by more than 2 s.
func TestPreferredFollowShiftOfDemand(t *testing.T) {
	box, replicas := newPrefixBox(2), prefixReplicas("a", 15)
	before, after := skewed(16), skewed(16)
	slices.Reverse(after)
	box.see(testStart, testStart.Add(6*time.Second), 300, before, replicas)
	box.see(testStart.Add(6*time.Second), testStart.Add(8*time.Second), 300, after, replicas)
	byPart := box.preferredByPart(16, replicas)
	if first, last := len(byPart[0]), len(byPart[15]); last < 6 || first > 3 {
		t.Errorf("2 s after the shift, the part that became common has %d preferred replicas, the one that became rare %d", last, first)
	}
}

// TestPreferredKeptWhenReplicasChange guards against reassignments of all prefixes when one replica
// leaves or joins.
func TestPreferredKeptWhenReplicasChange(t *testing.T) {
	box, replicas := newPrefixBox(3), prefixReplicas("a", 15)
	now := testStart.Add(6 * time.Second)
	box.see(testStart, now, 300, skewed(16), replicas)
	before := box.preferredByPart(16, replicas)
	box.Assign(now, testMemory, replicas[1:])
	without := box.preferredByPart(16, replicas)
	box.Assign(now, testMemory, replicas)
	if n := maxDifference([][][]string{before, box.preferredByPart(16, replicas)}); n > 1 {
		t.Errorf("once the replica is back, %d preferred replicas of a part have changed", n)
	}
	all, kept := 0, 0
	for i := range before {
		if slices.Contains(without[i], replicas[0].ID) {
			t.Errorf("part %d prefers a replica that has left", i)
		}
		if len(without[i]) == 0 {
			t.Errorf("part %d has no preferred replica", i)
		}
		old := slices.DeleteFunc(before[i], func(name string) bool { return name == replicas[0].ID })
		all += len(old)
		kept += len(old) - missingFrom(old, without[i])
	}
	if kept*10 < all*8 {
		t.Errorf("%d of %d preferences for other replicas are kept", kept, all)
	}
}

// exchange sends the demand that each box has seen to all others, except for a share of lost messages.
func exchange(now time.Time, boxes []*prefixBox, loss float64) {
	for i, from := range boxes {
		demand, ok := from.Demand(now)
		for j, to := range boxes {
			if ok && i != j && to.rng.Float64() >= loss {
				to.Merge(now, fmt.Sprintf("box%d", i), demand)
			}
		}
	}
}

// runBoxes lets boxes see a call rate each and exchange demand every second, and returns the preferred
// replicas of each part at each box.
func runBoxes(boxes []*prefixBox, seconds int, rate, loss float64, replicas []PrefixReplica) [][][]string {
	now := testStart
	for range seconds {
		for _, box := range boxes {
			box.see(now, now.Add(time.Second), rate, skewed(16), replicas)
		}
		now = now.Add(time.Second)
		exchange(now, boxes, loss)
	}
	byBox := make([][][]string, len(boxes))
	for i, box := range boxes {
		box.Assign(now, testMemory, replicas)
		byBox[i] = box.preferredByPart(16, replicas)
	}
	return byBox
}

// maxDifference returns the largest number of replicas that one of the boxes prefers for a part and another
// does not.
func maxDifference(byBox [][][]string) int {
	most := 0
	for _, one := range byBox {
		for _, other := range byBox {
			for part := range one {
				most = max(most, missingFrom(one[part], other[part]))
			}
		}
	}
	return most
}

// TestBoxesAgree guards against boxes that fill different replicas with a prefix because each counts other
// calls: they may differ in the last preferred replica of a prefix only, or in the last two if a third of the
// messages is lost.
func TestBoxesAgree(t *testing.T) {
	replicas := prefixReplicas("a", 15)
	for seed := range uint64(10) {
		for _, c := range []struct {
			loss float64
			most int
		}{{0, 1}, {0.3, 2}} {
			var boxes []*prefixBox
			for i := range uint64(8) {
				boxes = append(boxes, newPrefixBox(100*seed+i))
			}
			if n := maxDifference(runBoxes(boxes, 6, 45, c.loss, replicas)); n > c.most {
				t.Errorf("seed %d, %v of the messages lost: boxes differ in %d preferred replicas of a part", seed, c.loss, n)
			}
		}
	}
}

// TestLostMessages guards against boxes that need messages: without any, each decides by its own counts,
// and the counts of a box that is gone stop counting.
func TestLostMessages(t *testing.T) {
	replicas := prefixReplicas("a", 15)
	now := testStart.Add(4 * time.Second)
	lone := newPrefixBox(4)
	lone.see(testStart, now, 100, skewed(16), replicas)
	if shared, preferred := lone.Totals(now); shared < 14 || preferred < shared {
		t.Errorf("%d shared prefixes with %d preferred replicas", shared, preferred)
	}
	other := PrefixDemand{Calls: 1000, Parts: []PartDemand{{ID: "other", Tokens: testPrefix, Calls: 1000, Programs: firstPartPrograms}}}
	lone.Merge(now, "gone", other)
	lone.Assign(now, testMemory, replicas)
	if n := len(lone.preferredByPart(1, replicas)[0]); n > 3 {
		t.Errorf("%d preferred replicas for a part whose share fell to a thirtieth", n)
	}
	later := now.Add(peerDemandTimeout + time.Second)
	lone.see(now, later, 100, skewed(16), replicas)
	if n := len(lone.preferredByPart(1, replicas)[0]); n < 6 {
		t.Errorf("%d preferred replicas once the box is gone", n)
	}
}

// TestAssignedMemoryIsBounded guards against replicas that hold so many prefixes that running calls have
// no room, and checks that common parts come first then.
func TestAssignedMemoryIsBounded(t *testing.T) {
	box, replicas := newPrefixBox(5), prefixReplicas("a", 3)
	box.see(testStart, testStart.Add(6*time.Second), 400, skewed(40), replicas)
	byPart := box.preferredByPart(40, replicas)
	assigned := map[string]int{}
	for _, names := range byPart {
		for _, name := range names {
			assigned[name] += testPrefix
		}
	}
	for name, tokens := range assigned {
		if float64(tokens) > assignedShare*testMemory {
			t.Errorf("%s has %d tokens of prefixes", name, tokens)
		}
	}
	for i, names := range byPart[:3] {
		if len(names) == 0 {
			t.Errorf("no replica is preferred for part %d, which is common", i)
		}
	}
}

// TestSharedParts guards against sessions that are taken for shared prefixes: the last part of a prompt,
// parts of one program, and those that a program shares with its sub-agents.
func TestSharedParts(t *testing.T) {
	p := NewPrefixes()
	for i := range 60 {
		session := fmt.Sprintf("session%d", i/4)
		p.Observe(testStart, fmt.Sprintf("program%d", i), []work.Part{{ID: "first", Tokens: 50_000}, {ID: session, Tokens: 50_000}, {ID: "last", Tokens: 50_000}})
		p.Observe(testStart, "same", []work.Part{{ID: "own", Tokens: 50_000}, {ID: "own end", Tokens: 100}})
	}
	p.Assign(testStart, 100_000, prefixReplicas("a", 4))
	if shared, _ := p.Totals(testStart); shared != 1 {
		t.Errorf("%d shared parts", shared)
	}
	for _, id := range []string{"first", "session0", "last", "own"} {
		if _, ok := p.Rank(id, "a0"); ok != (id == "first") {
			t.Errorf("%s is assigned: %v", id, ok)
		}
	}
	p.Assign(testStart.Add(partIdleTimeout+time.Second), 100_000, prefixReplicas("a", 4))
	if len(p.parts) != 0 {
		t.Errorf("%d unused parts are kept", len(p.parts))
	}
}

// TestInactiveWhilePrefixesFit guards against a changed placement where every replica can hold all shared
// prefixes, and against one that is switched on and off.
func TestInactiveWhilePrefixesFit(t *testing.T) {
	box, replicas := newPrefixBox(6), prefixReplicas("a", 15)
	now := testStart
	for _, step := range []struct {
		parts  int
		active bool
	}{{5, false}, {6, true}, {5, true}, {4, false}} {
		until := now.Add(partIdleTimeout + 2*time.Second)
		box.see(now, until, 100, skewed(step.parts), replicas)
		if now = until; box.Active() != step.active {
			t.Errorf("%d parts: active is %v", step.parts, box.Active())
		}
		if _, ok := box.Demand(now); ok != step.active {
			t.Errorf("%d parts: demand to send is %v", step.parts, ok)
		}
	}
}

// TestSlowReplicasArePreferredLess guards against slow replicas that get as many prefixes as others, and
// against rankings that follow short-lived differences.
func TestSlowReplicasArePreferredLess(t *testing.T) {
	replicas := prefixReplicas("a", 15)
	slow, usual := 0, 0
	for seed := range uint64(10) {
		box := newPrefixBox(seed)
		replicas[3].Slowdown = 1
		now := testStart.Add(4 * time.Second)
		box.see(testStart, now, 300, skewed(16), replicas)
		before := box.preferredByPart(16, replicas)
		replicas[3].Slowdown = 1.2
		box.Assign(now.Add(time.Second), testMemory, replicas)
		if n := maxDifference([][][]string{before, box.preferredByPart(16, replicas)}); n > 1 {
			t.Errorf("a slowdown of 1.2 changed %d preferred replicas of a part", n)
		}
		replicas[3].Slowdown = 6
		box.see(now.Add(time.Second), now.Add(3*time.Second), 300, skewed(16), replicas)
		for _, names := range box.preferredByPart(16, replicas) {
			for _, name := range names {
				if name == replicas[3].ID {
					slow++
				} else {
					usual++
				}
			}
		}
	}
	if slow*14 > usual*2/3 {
		t.Errorf("a replica six times slower is preferred %d times, the 14 others %d times", slow, usual)
	}
}

// TestZonesAreAssignedSeparately guards against a zone without preferred replicas, to which calls go when
// those of the box's own zone are full.
func TestZonesAreAssignedSeparately(t *testing.T) {
	box := newPrefixBox(7)
	replicas := append(prefixReplicas("a", 8), prefixReplicas("b", 15)...)
	now := testStart.Add(6 * time.Second)
	box.see(testStart, now, 300, skewed(16), replicas)
	both := box.preferredByPart(16, replicas)
	box.Assign(now, testMemory, replicas[:8])
	if diff := cmp.Diff(box.preferredByPart(16, replicas[:8]), box.preferredByPart(16, replicas)); diff != "" {
		t.Errorf("zone b is gone (-want +got):\n%s", diff)
	}
	for i, names := range box.preferredByPart(16, replicas) {
		if missing := missingFrom(names, both[i]); missing > 0 || len(names) == len(both[i]) {
			t.Errorf("part %d: %v in zone a, %v in both", i, names, both[i])
		}
	}
}

// TestOverflowFollowsRanking guards against boxes that overflow to different replicas: when the preferred
// replicas of a part are away, the next ones in the ranking take over.
func TestOverflowFollowsRanking(t *testing.T) {
	box, replicas := newPrefixBox(8), prefixReplicas("a", 15)
	now := testStart.Add(6 * time.Second)
	box.see(testStart, now, 300, skewed(16), replicas)
	next := ""
	left := slices.DeleteFunc(slices.Clone(replicas), func(rep PrefixReplica) bool {
		rank, _ := box.Rank("part0", rep.ID)
		if !rank.Preferred && rank.Overflow == 0 {
			next = rep.ID
		}
		return rank.Preferred
	})
	box.Assign(now, testMemory, left)
	if rank, ok := box.Rank("part0", next); !ok || !rank.Preferred {
		t.Errorf("the next replica has rank %+v once the preferred ones are away", rank)
	}
}

// TestPrefixInvariants applies random demand, messages and changes of replicas, and guards against assignments
// beyond the bound, to replicas that are not usable, or without limits on what is kept.
func TestPrefixInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, now := NewPrefixes(), testStart
		memory := rapid.SampledFrom([]int{1, 50_000, testMemory}).Draw(rt, "memory")
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				for i := range rapid.IntRange(0, 200).Draw(rt, "calls") {
					id := fmt.Sprintf("part%d", i%rapid.IntRange(1, 50).Draw(rt, "parts"))
					p.Observe(now, fmt.Sprintf("program%d", i), []work.Part{{ID: id, Tokens: 1000 * i}, {ID: "later" + id, Tokens: 100}, {ID: "last"}})
				}
			case 1:
				demand := PrefixDemand{Calls: rapid.Float64Range(-1, 1e9).Draw(rt, "calls")}
				for i := range rapid.IntRange(0, 100).Draw(rt, "heard") {
					demand.Parts = append(demand.Parts, PartDemand{ID: fmt.Sprintf("part%d", i), Tokens: rapid.IntRange(-10, 1e6).Draw(rt, "tokens"), Calls: rapid.Float64Range(-1, 1e9).Draw(rt, "rate"), Programs: rapid.IntRange(-1, 9).Draw(rt, "programs")})
				}
				p.Merge(now, fmt.Sprintf("box%d", rapid.IntRange(0, 400).Draw(rt, "box")), demand)
			default:
			}
			replicas := append(prefixReplicas("a", rapid.IntRange(0, 9).Draw(rt, "replicas")), prefixReplicas("b", 2)...)
			for i := range replicas {
				replicas[i].Slowdown = rapid.Float64Range(0, 100).Draw(rt, "slowdown")
			}
			p.Assign(now, memory, replicas)
			checkAssignment(rt, p, memory, replicas)
		}
	})
}

// checkAssignment checks the bounds on an assignment.
func checkAssignment(rt *rapid.T, p *Prefixes, memory int, replicas []PrefixReplica) {
	known := map[string]bool{}
	for _, rep := range replicas {
		known[rep.ID] = true
	}
	assigned := map[string]int{}
	for id, part := range p.parts {
		for name, rank := range part.ranks {
			if got, ok := p.Rank(id, name); ok && rank.Preferred && got == rank {
				assigned[name] += part.tokens
				if !known[name] {
					rt.Fatalf("%s is preferred for %s although it is not usable", name, id)
				}
			}
		}
	}
	for name, tokens := range assigned {
		if float64(tokens) > assignedShare*float64(memory) {
			rt.Fatalf("%s has %d tokens of prefixes, its memory is %d", name, tokens, memory)
		}
	}
	if len(p.parts) > maxTrackedParts || len(p.peers) > maxPeers {
		rt.Fatalf("%d parts and %d boxes are kept", len(p.parts), len(p.peers))
	}
}

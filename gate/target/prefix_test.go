package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/subset"
	"mulleingate.dev/gate/work"
)

const (
	testPrefix = 12_600
	testMemory = 290_828
)

// prefixAsk returns the call of a program with the n-th prefix and a part of its own.
func prefixAsk(n int, program string) CallRequest {
	return CallRequest{
		WorkKind: "w", Services: splitToS, Turn: sched.Turn{Program: program, Kind: "w"},
		Prompt: &work.Prompt{Tokens: testPrefix + 1000, Parts: []work.Part{{ID: fmt.Sprintf("prefix%d", n), Tokens: testPrefix}, {ID: program, Tokens: 1000}}},
	}
}

// configureMemory configures the service s, whose replicas have memory for the tokens; 0 if that is unknown.
func configureMemory(targets *Targets, tokens int) {
	svc := work.Service{Name: "s", Connections: 1000, Engine: &work.Engine{Slots: 8, Stride: 3, CacheTokens: tokens}}
	targets.Configure(work.NewConfig(1, nil, []work.Service{svc}, work.Limits{}))
}

// prefixTargets returns targets with 8 replicas in zone a and 4 in zone b, which assign 16 prefixes with the
// same demand. The box has placed no calls except one.
func prefixTargets(t *testing.T) *Targets {
	t.Helper()
	targets, _ := newTargets(8, true)
	for i := range 4 {
		targets.Put(replica(8+i, "b"))
	}
	configureMemory(targets, testMemory)
	take(t, targets, prefixAsk(99, "own")).Done(Answered, 0)
	demand := sched.PrefixDemand{Service: "s", Calls: 160}
	for i := range 16 {
		demand.Parts = append(demand.Parts, sched.PartDemand{ID: fmt.Sprintf("prefix%d", i), Tokens: testPrefix, Calls: 10, Programs: 8})
	}
	targets.UpdatePrefixDemand("other", demand)
	time.Sleep(time.Second)
	targets.updatePrefixes(time.Now(), "s")
	return targets
}

// preferredFor returns the sorted IDs of the replicas in a zone that are preferred for the n-th prefix.
func preferredFor(targets *Targets, n int, zone string) []string {
	var ids []string
	for _, s := range targets.services["s"] {
		if rank, ok := targets.prefixes["s"].Rank(fmt.Sprintf("prefix%d", n), s.ID); ok && rank.Preferred && s.Zone == zone {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// placement is what a call saw of the choice of its replica.
type placement struct {
	Replica    string
	Cached     int
	Cost       time.Duration
	Candidates int
}

// TestPlacementUnchangedWithoutNeed guards against a placement that changes where the memory of replicas is not
// known, and where all shared prefixes fit into a quarter of it.
func TestPlacementUnchangedWithoutNeed(t *testing.T) {
	const prefixes, fits = 5, 5*testPrefix*4 + 1
	run := func(memory int) (all []placement) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			targets, _ := newTargets(0, true)
			for i := range 9 {
				targets.Put(replica(i, string(rune('a'+i%2))))
			}
			configureMemory(targets, memory)
			targets.rng = rand.New(rand.NewPCG(3, 4))
			cached := map[string]string{} // few enough programs that no parts are evicted, which is random
			for i := range 3000 {
				ask := prefixAsk(rng.IntN(prefixes), fmt.Sprintf("program%d", rng.IntN(300)))
				if id, ok := cached[ask.Turn.Program]; ok {
					ask.CachedTokens = map[string]int{id: testPrefix + 500}
				}
				lease := take(t, targets, ask)
				cached[ask.Turn.Program] = lease.Replica.RunID()
				all = append(all, placement{lease.Replica.ID, lease.CachedTokens, lease.ExpectedCost, lease.Candidates})
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
				lease.RecordFirstEvent(time.Duration(rng.IntN(100)+1) * time.Millisecond)
				if rng.IntN(8) > 0 {
					lease.Done(Answered, 20*time.Millisecond)
				}
				if i%30 == 0 {
					targets.UpdateLoad(fmt.Sprintf("r%d", rng.IntN(9)), work.Load{Running: rng.IntN(9), Waiting: rng.IntN(2)})
				}
			}
			if shared, preferred := targets.PrefixTotals(); shared+preferred > 0 || len(targets.PrefixDemand()) > 0 {
				t.Errorf("memory for %d tokens: %d shared prefixes, %d preferred replicas, demand %v", memory, shared, preferred, targets.PrefixDemand())
			}
		})
		return all
	}
	before := run(0)
	if diff := cmp.Diff(before, run(fits)); diff != "" {
		t.Errorf("placements where all prefixes fit (-want +got):\n%s", diff)
	}
}

// TestFirstCallGoesToPreferredReplica guards against boxes that fill further replicas with a prefix that the
// preferred ones hold, and against calls that leave the box's zone for it.
func TestFirstCallGoesToPreferredReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for n := range 16 {
			targets := prefixTargets(t)
			preferred := preferredFor(targets, n, "a")
			if len(preferred) == 0 || len(preferredFor(targets, n, "b")) == 0 {
				t.Fatalf("prefix %d: preferred replicas %v in zone a, %v in zone b", n, preferred, preferredFor(targets, n, "b"))
			}
			if shared, all := targets.PrefixTotals(); shared != 16 || all < 32 {
				t.Errorf("%d shared prefixes, %d preferred replicas in both zones", shared, all)
			}
			lease := take(t, targets, prefixAsk(n, "new"))
			if !slices.Contains(preferred, lease.Replica.ID) || lease.CachedTokens != testPrefix {
				t.Errorf("prefix %d, preferred replicas %v: call placed at %s with %d cached tokens", n, preferred, lease.Replica.ID, lease.CachedTokens)
			}
		}
	})
}

// TestPreferredAmongEquals guards against calls that keep a prefix alive at a replica that is not preferred:
// they leave it although this box sent the prefix there, unless the preferred ones are busy.
func TestPreferredAmongEquals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := prefixTargets(t)
		preferred := preferredFor(targets, 0, "a")
		ask := prefixAsk(0, "first")
		ask.Exclude = append(preferredFor(targets, 0, "b"), preferred...)
		other := take(t, targets, ask)
		other.Done(Answered, 0)
		if got := other.state.cachedPrefixAt(time.Now(), targets.prefixes["s"], ask.Prompt.Parts); got.tokens != testPrefix+1000 {
			t.Errorf("%+v is cached where the prompt was just sent", got)
		}
		for range 10 {
			lease := take(t, targets, prefixAsk(0, "next"))
			if !slices.Contains(preferred, lease.Replica.ID) {
				t.Errorf("call placed at %s, preferred are %v", lease.Replica.ID, preferred)
			}
			lease.Done(Answered, 0)
		}
		for _, s := range targets.services["s"] {
			if slices.Contains(preferred, s.ID) {
				targets.UpdateLoad(s.ID, work.Load{Running: 8, Waiting: 30})
			} else {
				targets.UpdateLoad(s.ID, work.Load{})
			}
		}
		if lease := take(t, targets, prefixAsk(0, "in a burst")); lease.Replica.ID != other.Replica.ID {
			t.Errorf("with the preferred replicas full, the call is placed at %s, the prefix is at %s", lease.Replica.ID, other.Replica.ID)
		}
		time.Sleep(unpreferredTTL)
		if got := other.state.cachedPrefixAt(time.Now(), targets.prefixes["s"], ask.Prompt.Parts); got.tokens != 0 {
			t.Errorf("%+v is cached at a replica that is not preferred and was not used for long", got)
		}
	})
}

// TestBoxesOverflowAlike guards against bursts in which every box fills another replica with a prefix.
func TestBoxesOverflowAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for n := range 16 {
			used := map[string]bool{}
			for range 6 {
				targets := prefixTargets(t)
				ask := prefixAsk(n, "new")
				ask.Exclude = append(preferredFor(targets, n, "a"), preferredFor(targets, n, "b")...)
				used[take(t, targets, ask).Replica.ID] = true
			}
			if len(used) != 1 {
				t.Errorf("prefix %d: boxes overflow to %v", n, used)
			}
		}
	})
}

// TestOtherZoneOnlyIfBusy guards against programs that leave the box's zone for a preferred replica that is a few
// calls less busy, and against prefills in a burst while another zone has preferred replicas.
func TestOtherZoneOnlyIfBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := prefixTargets(t)
		for _, c := range []struct {
			load work.Load
			zone string
		}{{work.Load{Running: 5}, "a"}, {work.Load{Running: 8, Waiting: 8}, "b"}} {
			for _, s := range targets.services["s"] {
				if s.Zone == "a" {
					targets.UpdateLoad(s.ID, c.load)
				}
			}
			for n := range 16 {
				lease := take(t, targets, prefixAsk(n, "new"))
				if lease.Replica.Zone != c.zone || lease.CachedTokens != testPrefix {
					t.Errorf("%+v at all replicas of zone a: call placed at %s in zone %s with %d cached tokens", c.load, lease.Replica.ID, lease.Replica.Zone, lease.CachedTokens)
				}
				lease.state.inFlight--
			}
		}
	})
}

// TestUnavailableReplicasAreNotPreferred guards against prefixes that are assigned to replicas without calls.
func TestUnavailableReplicasAreNotPreferred(t *testing.T) {
	for name, disable := range map[string]func(targets *Targets, s *state){
		"draining": func(targets *Targets, s *state) {
			rep := s.Replica
			rep.Draining = true
			targets.Put(rep)
		},
		"missing":   func(targets *Targets, s *state) { targets.MarkMissing(s.ID) },
		"suspect":   func(_ *Targets, s *state) { s.suspectUntil = time.Now().Add(time.Minute) },
		"cold":      func(_ *Targets, s *state) { s.coldUntil = time.Now().Add(time.Minute) },
		"removed":   func(targets *Targets, s *state) { targets.Remove(s.ID) },
		"evacuated": func(targets *Targets, _ *state) { targets.SetEvacuated(map[string]bool{"a": true}) },
		"ejected": func(targets *Targets, s *state) {
			for range 20 {
				targets.ejectorFor("s").Failure(time.Now(), s.ID, 12)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			targets := prefixTargets(t)
			for n := range 16 {
				first := preferredFor(targets, n, "a")[0]
				if n > 0 && first != "r0" {
					continue
				}
				disable(targets, targets.byID[first])
				time.Sleep(time.Second)
				targets.updatePrefixes(time.Now(), "s")
				if left := preferredFor(targets, n, "a"); slices.Contains(left, first) || (len(left) == 0) != (name == "evacuated") {
					t.Errorf("%s replica %s: preferred are %v", name, first, left)
				}
				return
			}
		})
	}
}

// TestLateFirstEventsCauseDoubt guards against a belief that observations contradict: a preferred replica that
// prefills the prefix again and again counts as caching less of it, until its first events are in time or it got
// no calls for a while.
func TestLateFirstEventsCauseDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := prefixTargets(t)
		for range 50 {
			for missing := range 5 {
				targets.admissionFor("s").Estimates.ObserveFirstEvent(time.Duration(10+5*missing)*time.Millisecond, 1000*missing)
			}
		}
		targets.admissionFor("s").Estimates.ObserveEventGap(5 * time.Millisecond)
		preferred := preferredFor(targets, 0, "a")
		ask := prefixAsk(0, "w")
		for _, s := range targets.services["s"] {
			if s.ID != preferred[0] {
				ask.Exclude = append(ask.Exclude, s.ID)
			}
		}
		s := targets.byID[preferred[0]]
		call := func(program string, firstEvent time.Duration) int {
			targets.UpdateLoad(s.ID, work.Load{Running: 1})
			ask.Turn.Program = program
			ask.Prompt.Parts[1].ID = program
			lease := take(t, targets, ask)
			time.Sleep(firstEvent)
			lease.RecordFirstEvent(firstEvent)
			lease.Done(Answered, 5*time.Millisecond)
			return lease.CachedTokens
		}
		var got []int
		for i := range 5 {
			got = append(got, call(fmt.Sprintf("late%d", i), 78*time.Millisecond)) // a prefill of the prefix takes 63 ms
		}
		if !slices.IsSortedFunc(got, func(a, b int) int { return b - a }) || got[0] != testPrefix || got[4] > testPrefix/2 || got[4] < testPrefix/5 {
			t.Errorf("tokens expected in the cache: %v", got)
		}
		call("in time", 15*time.Millisecond)
		if got := call("after it", 15*time.Millisecond); got != testPrefix {
			t.Errorf("%d tokens expected in the cache after a first event in time", got)
		}
		for i := range 5 {
			call(fmt.Sprintf("late again%d", i), 78*time.Millisecond)
		}
		time.Sleep(5 * doubtHalfLife)
		if got := s.cachedPrefixAt(time.Now(), targets.prefixes["s"], ask.Prompt.Parts).tokens; got < testPrefix*9/10 {
			t.Errorf("%d tokens expected in the cache after a while without calls", got)
		}
	})
}

// TestSubsetsOfReplicas guards against boxes of large fleets that cannot assign prefixes since they know only a
// part of the replicas, and checks that two boxes use the same replicas as far as both know them.
func TestSubsetsOfReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replicas = 300
		levels := subset.Levels{subset.Group("s", "a"): 2}
		var boxes []*Targets
		for _, name := range []string{"one", "two"} {
			targets, _ := newTargets(0, true)
			configureMemory(targets, testMemory)
			targets.SetLevels(levels)
			for i := range replicas {
				if rep := replica(i, "a"); levels.Knows(name, rep.ID, subset.Group("s", "a")) {
					targets.Put(rep)
				}
			}
			boxes = append(boxes, targets)
		}
		for i := range 1200 {
			for b, targets := range boxes {
				take(t, targets, prefixAsk(i%16, fmt.Sprintf("program%d-%d", b, i))).Done(Answered, 0)
			}
			time.Sleep(5 * time.Millisecond)
		}
		both, agreed := 0, 0
		for n := range 16 {
			lists := [2][]string{preferredFor(boxes[0], n, "a"), preferredFor(boxes[1], n, "a")}
			if len(lists[0]) == 0 || len(lists[1]) == 0 {
				t.Errorf("prefix %d has no preferred replica at a box: %v", n, lists)
			}
			for i, list := range lists {
				for _, id := range list {
					if _, known := boxes[1-i].byID[id]; known {
						both++
						if slices.Contains(lists[1-i], id) {
							agreed++
						}
					}
				}
			}
		}
		if agreed*10 < both*4 { // it would be one in eight by chance
			t.Errorf("of %d preferred replicas that both boxes know, both prefer %d", both, agreed)
		}
	})
}

package shard

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/fixed"
	"mulleingate.dev/gate/chain"
)

func TestMain(m *testing.M) {
	os.Exit(fixed.Main(m, "1500"))
}

// play takes one turn on the slot as an owner does, and returns nil once the log holds it. It
// calls handed when the caller gets its tokens.
func play(ctx context.Context, s *Shards, o chain.Open, budget int, takes time.Duration, handed func(int)) error {
	slot, err := s.Get(ctx, 0)
	if err != nil {
		return err
	}
	var started, ended *Pending
	err = slot.Enter(func(state *chain.State) error {
		if _, err := state.Line(o.Program, o.Previous); err != nil {
			return err
		}
		recs, err := state.Start(time.Now(), o, budget)
		if err != nil {
			return err
		}
		if len(recs) > 0 {
			started = slot.QueueLocked(recs)
		}
		return nil
	})
	if fault.Is(err, fault.NoTurn) && slot.Confirm(ctx) == nil {
		return fault.Fail(fault.HistoryGone, "the owner, confirmed by the log, does not know "+o.Previous)
	}
	if err != nil {
		return err
	}
	time.Sleep(takes)
	if started != nil {
		if err := started.Wait(ctx); err != nil {
			slot.Change(func(state *chain.State) { state.Break(o) })
			return fault.Fail(fault.LogUnavailable, "no start").Because(err)
		}
	}
	handed(o.Most)
	slot.Change(func(state *chain.State) {
		_, recs := state.Finish(time.Now(), o, o.Most, []byte(o.ID))
		ended = slot.QueueLocked(recs)
	})
	if err := slot.Await(ctx, ended); err != nil {
		return fault.Fail(fault.LogUnavailable, "no end").Because(err)
	}
	if ended.Wait(ctx) == nil {
		slot.Change(func(state *chain.State) { state.Free(o) })
	}
	return nil
}

// draw takes one turn on the slot whose answer is not kept; its caller gets so many tokens.
func draw(ctx context.Context, s *Shards, o chain.Open, budget int, takes time.Duration, tokens int, handed func(int)) error {
	slot, err := s.Get(ctx, 0)
	if err != nil {
		return err
	}
	var started *Pending
	err = slot.Enter(func(state *chain.State) error {
		recs, err := state.Draw(time.Now(), o, budget)
		if len(recs) > 0 {
			started = slot.QueueLocked(recs)
			o.Granted = state.Granted(o.Program)
		}
		return err
	})
	if err != nil {
		return err
	}
	back := func(tokens int) {
		var late *Pending
		slot.Change(func(state *chain.State) {
			if recs := state.Return(o, tokens); len(recs) > 0 {
				late = slot.QueueLocked(recs)
			}
		})
		if late != nil {
			_ = slot.Await(ctx, late) // otherwise it counts at its most
		}
	}
	time.Sleep(takes)
	if started != nil {
		if err := started.Wait(ctx); err != nil {
			back(0)
			return fault.Fail(fault.LogUnavailable, "no grant").Because(err)
		}
		slot.Change(func(state *chain.State) { state.Confirm(o.Program, o.Granted) })
	}
	handed(tokens)
	back(tokens)
	return nil
}

// nobody is for turns whose tokens need not be counted.
func nobody(int) {}

func open(id, previous string) chain.Open {
	return chain.Open{ID: id, Program: "p", Previous: previous, Most: 10, Retention: time.Minute}
}

// TestTurnOutlivesItsOwner checks that a turn under way at a hand-over ends at the next
// owner, and that the hand-over does not wait for it.
func TestTurnOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		if err := play(ctx, f.shards["a"], open("one", ""), -1, 0, nobody); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error)
		go func() { ended <- play(ctx, f.shards["a"], open("two", "one"), -1, 3*time.Second, nobody) }()
		time.Sleep(100 * time.Millisecond)
		f.believe("a", "b")
		f.believe("b", "b")
		start := time.Now()
		if err := play(ctx, f.shards["b"], open("three", "one"), -1, 0, nobody); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("the hand-over took %v", took)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if err := play(ctx, f.shards["b"], open("four", "two"), -1, 0, nobody); err != nil {
			t.Errorf("the turn that began at the owner before: %v", err)
		}
	})
}

// TestTurnEndsWhereItsSlotIs checks that a turn under way at a hand-over ends at the box that
// holds the slot by then, also while this box takes another for its owner: one that has just
// come and left again, or that has not claimed it yet.
func TestTurnEndsWhereItsSlotIs(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprintf("the other hangs: %v", hangs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(newLog(), "a", "b", "c")
				defer f.stop()
				ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
				defer stop()
				ended := make(chan error)
				go func() { ended <- play(ctx, f.shards["a"], open("one", ""), -1, 2*time.Second, nobody) }()
				time.Sleep(100 * time.Millisecond)
				for _, box := range []string{"a", "b", "c"} {
					f.believe(box, "b")
				}
				if err := play(ctx, f.shards["b"], open("two", ""), -1, 0, nobody); err != nil {
					t.Fatal(err)
				}
				f.believe("a", "c")
				f.hang("c", hangs)
				if err := <-ended; err != nil {
					t.Fatal(err)
				}
				if err := play(ctx, f.shards["b"], open("three", "one"), -1, 0, nobody); err != nil {
					t.Errorf("the turn that began at the owner before: %v", err)
				}
			})
		})
	}
}

// TestTurnEndsAtASlowOwner checks that a turn under way at a hand-over ends where the next owner
// takes long to write its records, and that these are not written again and again.
func TestTurnEndsAtASlowOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		defer stop()
		ended := make(chan error)
		go func() { ended <- play(ctx, f.shards["a"], open("one", ""), -1, 2*time.Second, nobody) }()
		time.Sleep(100 * time.Millisecond)
		f.believe("a", "b")
		f.believe("b", "b")
		if err := play(ctx, f.shards["b"], open("two", ""), -1, 0, nobody); err != nil {
			t.Fatal(err)
		}
		log.slow(1200 * time.Millisecond)
		log.mu.Lock()
		before := log.appends
		log.mu.Unlock()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		log.mu.Lock()
		n := log.appends - before
		log.mu.Unlock()
		time.Sleep(5 * time.Second) // whatever is under way ends
		if n > 2 {
			t.Errorf("%d appends for the end of one turn", n)
		}
	})
}

// TestOwnerThatWasFencedOff checks that a box which does not know that it lost its slot
// writes nothing, and that a box can tell.
func TestOwnerThatWasFencedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		if err := play(ctx, f.shards["a"], open("one", ""), -1, 0, nobody); err != nil {
			t.Fatal(err)
		}
		slot, err := f.shards["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := slot.Confirm(ctx); err != nil {
			t.Errorf("before the loss: %v", err)
		}
		f.cut["a"] = true
		f.believe("b", "b")
		if err := play(ctx, f.shards["b"], open("two", "one"), -1, 0, nobody); err != nil {
			t.Fatal(err)
		}
		if err := slot.Confirm(ctx); !fault.Is(err, fault.NotOwner) {
			t.Errorf("after the loss: %v", err)
		}
	})
}

// TestStaleOwnerSpendsItsReservationOnce checks that an owner which was fenced off and can't
// find out hands out what it has reserved, which the next owner counts, and no more.
func TestStaleOwnerSpendsItsReservationOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		const budget = 30
		var sum atomic.Int64
		handed := func(n int) { sum.Add(int64(n)) }
		if err := play(ctx, f.shards["a"], open("one", ""), budget, 0, handed); err != nil {
			t.Fatal(err)
		}
		f.cut["a"] = true
		f.believe("b", "b")
		if err := play(ctx, f.shards["b"], open("two", "one"), budget, 0, handed); err != nil {
			t.Fatal(err)
		}
		log.set(away)
		var all sync.WaitGroup
		for _, id := range []string{"three", "four", "five"} {
			all.Go(func() { _ = play(ctx, f.shards["a"], open(id, "one"), budget, 0, handed) })
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
		log.set(up)
		time.Sleep(3 * time.Second) // writers under way end
		if got := sum.Load(); got != budget {
			t.Errorf("%d of %d tokens handed out", got, budget)
		}
	})
}

// TestStaleOwnerSpendsNoMoreThanItsGrant checks that an owner which was fenced off and can't find
// out hands out at most what the log holds as granted, which the next owner counts as spent.
func TestStaleOwnerSpendsNoMoreThanItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		const budget = 60
		var sum atomic.Int64
		handed := func(n int) { sum.Add(int64(n)) }
		if err := draw(ctx, f.shards["a"], open("one", ""), budget, 0, 5, handed); err != nil {
			t.Fatal(err)
		}
		f.cut["a"] = true
		f.believe("b", "b")
		for n := range 9 {
			_ = draw(ctx, f.shards["b"], open(fmt.Sprintf("b-%d", n), ""), budget, 0, 10, handed)
			_ = draw(ctx, f.shards["a"], open(fmt.Sprintf("a-%d", n), ""), budget, 0, 10, handed)
		}
		if got := sum.Load(); got > budget || got < budget/2 {
			t.Errorf("%d of %d tokens handed out", got, budget)
		}
	})
}

// TestHandOverCountsWhatWasHandedOut checks that a planned hand-over costs a program nothing of
// its budget, neither by what was granted ahead nor by a turn under way.
func TestHandOverCountsWhatWasHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		const budget = 30
		if err := draw(ctx, f.shards["a"], open("one", ""), budget, 0, 5, nobody); err != nil {
			t.Fatal(err)
		}
		var under sync.WaitGroup
		under.Go(func() { _ = draw(ctx, f.shards["a"], open("two", ""), budget, 4*time.Second, 5, nobody) })
		time.Sleep(100 * time.Millisecond)
		for name := range f.shards {
			f.believe(name, "b")
		}
		time.Sleep(3 * time.Second)
		if err := draw(ctx, f.shards["b"], open("three", ""), budget, 0, 5, nobody); err != nil {
			t.Errorf("with a turn under way at the owner before: %v", err)
		}
		under.Wait()
		time.Sleep(time.Second)
		for _, id := range []string{"four", "five"} {
			if err := draw(ctx, f.shards["b"], open(id, ""), budget, 0, 5, nobody); err != nil {
				t.Errorf("turn %s: %v", id, err)
			}
		}
		if err := draw(ctx, f.shards["b"], open("six", ""), budget, 0, 5, nobody); !fault.Is(err, fault.BudgetSpent) {
			t.Errorf("a turn that the budget does not hold: %v", err)
		}
	})
}

// TestClaimThatFailedHoldsNothing checks that a slot whose owner record was not confirmed is not
// held once another box should own it: a slot that another has fenced off was, and was then
// never claimed again.
func TestClaimThatFailedHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		b := f.shards["b"]
		f.believe("b", "b")
		b.claim(0)
		time.Sleep(pages + 14*time.Millisecond) // fenced and read; the owner record is on its way
		log.set(away)
		time.Sleep(time.Second)
		f.believe("b", "a")
		time.Sleep(6 * time.Second)
		if b.Holds(0) {
			t.Error("b holds a slot that it could not claim")
		}
		log.set(up)
		time.Sleep(3 * time.Second)
	})
}

// TestEpochsOfBoxesDiffer checks that boxes which claim side by side never share an epoch.
func TestEpochsOfBoxesDiffer(t *testing.T) {
	f := newFleet(newLog(), "a", "b", "c")
	seen := map[int64]string{}
	for name, s := range f.shards {
		for count := range int64(50) {
			epoch := s.epoch(count)
			if other, ok := seen[epoch]; ok {
				t.Fatalf("%s and %s share epoch %d", name, other, epoch)
			}
			seen[epoch] = name
			if epoch>>markBits != count {
				t.Errorf("epoch %d does not hold its count %d", epoch, count)
			}
		}
	}
}

// TestWhatWasConfirmedIsKept plays turns through boxes whose views lie, while the log is
// away, loses answers or does appends late, and boxes are cut off from each other. Every
// turn that was confirmed must be known to a later owner, and the budget must hold.
func TestWhatWasConfirmedIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = playPlan(plan) })
		if len(broken) > 0 {
			rt.Fatalf("%v", broken)
		}
	})
}

const (
	planBudget = 40
	planSteps  = 40
)

// step is one step of a plan. Only the fields of its kind count.
type step struct {
	kind       int
	box, other string
	mode       mode
	// previous chooses among the confirmed turns.
	previous    int
	takes, wait time.Duration
}

// The kinds of steps; all others take a turn that is kept.
const (
	stepBelieve = iota
	stepMode
	stepCut
	stepDraw
	stepDrawPart
	stepKinds = 8
)

var planBoxes = []string{"a", "b", "c"}

func drawPlan(rt *rapid.T) []step {
	plan := make([]step, rapid.IntRange(1, planSteps).Draw(rt, "steps"))
	for i := range plan {
		plan[i] = step{
			kind: rapid.IntRange(0, stepKinds).Draw(rt, "kind"), box: rapid.SampledFrom(planBoxes).Draw(rt, "box"),
			other: rapid.SampledFrom(planBoxes).Draw(rt, "other"), mode: mode(rapid.IntRange(0, 3).Draw(rt, "mode")),
			previous: rapid.IntRange(0, planSteps).Draw(rt, "previous"),
			takes:    time.Duration(rapid.IntRange(0, 1500).Draw(rt, "takes")) * time.Millisecond,
			wait:     time.Duration(rapid.IntRange(1, 300).Draw(rt, "wait")) * time.Millisecond,
		}
	}
	return plan
}

// playPlan plays the plan and returns what was broken.
func playPlan(plan []step) []string {
	log := newLog()
	f := newFleet(log, planBoxes...)
	defer f.stop()
	var all sync.WaitGroup
	var mu sync.Mutex
	confirmed := []string{""}
	var broken []string
	var handed atomic.Int64
	count := func(n int) { handed.Add(int64(n)) }
	for n, s := range plan {
		switch s.kind {
		case stepDraw, stepDrawPart:
			all.Go(func() {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				o := open(fmt.Sprintf("turn-%d", n), "")
				tokens := o.Most
				if s.kind == stepDrawPart {
					tokens /= 5
				}
				_ = draw(ctx, f.shards[s.box], o, planBudget, s.takes, tokens, count) // what counts is handed
			})
		case stepBelieve:
			f.believe(s.box, s.other)
		case stepMode:
			log.set(s.mode)
		case stepCut:
			f.mu.Lock()
			f.cut[s.box] = !f.cut[s.box]
			f.mu.Unlock()
		default:
			mu.Lock()
			previous := confirmed[s.previous%len(confirmed)]
			mu.Unlock()
			all.Go(func() {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				id := fmt.Sprintf("turn-%d", n)
				err := play(ctx, f.shards[s.box], open(id, previous), planBudget, s.takes, count)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					confirmed = append(confirmed, id)
				case fault.Is(err, fault.HistoryGone):
					broken = append(broken, err.Error())
				}
			})
		}
		time.Sleep(s.wait)
	}
	all.Wait()
	log.set(up)
	time.Sleep(3 * time.Second)
	if got := handed.Load(); got > planBudget {
		broken = append(broken, fmt.Sprintf("%d of %d tokens handed out", got, planBudget))
	}
	return append(broken, judge(f, confirmed[1:], int(handed.Load()))...)
}

// judge has a box read the slot back from the log and holds it against what was confirmed and
// what was handed out.
func judge(f *fleet, confirmed []string, handed int) []string {
	for name := range f.shards {
		f.believe(name, "c")
		f.mu.Lock()
		f.cut[name] = false
		f.mu.Unlock()
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	if err := f.shards["c"].Yield(ctx, 0); err != nil {
		return []string{err.Error()}
	}
	time.Sleep(2 * yieldFor)
	slot, err := f.shards["c"].Get(ctx, 0)
	if err != nil {
		return []string{"no owner at the end: " + err.Error()}
	}
	var broken []string
	slot.Change(func(state *chain.State) {
		for _, id := range confirmed {
			if !state.Has("p", id) {
				broken = append(broken, id+" was confirmed and is lost")
			}
		}
		if got := state.Spent("p"); got < handed {
			broken = append(broken, fmt.Sprintf("%d tokens were handed out and %d are counted", handed, got))
		}
	})
	return broken
}

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

// runTurn runs one stateful turn on the slot and returns nil once the log holds it. It calls onTokens when
// the caller receives tokens.
func runTurn(ctx context.Context, m *Manager, o chain.OpenTurn, budget int, takes time.Duration, onTokens func(int)) error {
	slot, err := m.Get(ctx, 0)
	if err != nil {
		return err
	}
	var started, ended *PendingWrite
	err = slot.BeginTurn(func(state *chain.State) error {
		if _, err := state.History(o.Program, o.Previous); err != nil {
			return err
		}
		recs, err := state.BeginStateful(time.Now(), o, budget)
		if err != nil {
			return err
		}
		if len(recs) > 0 {
			started = slot.QueueLocked(recs)
		}
		return nil
	})
	if fault.Is(err, fault.NoTurn) && slot.ConfirmOwnership(ctx) == nil {
		return fault.Fail(fault.HistoryGone, "the confirmed owner does not have turn "+o.Previous)
	}
	if err != nil {
		return err
	}
	time.Sleep(takes)
	if started != nil {
		if err := started.Wait(ctx); err != nil {
			slot.Update(func(state *chain.State) { state.Abort(o) })
			return fault.Fail(fault.LogUnavailable, "start not written").WithCause(err)
		}
	}
	onTokens(o.MaxTokens)
	slot.Update(func(state *chain.State) {
		_, recs := state.Finish(time.Now(), o, o.MaxTokens, []byte(o.ID))
		ended = slot.QueueLocked(recs)
	})
	if err := slot.WaitOrForward(ctx, ended); err != nil {
		return fault.Fail(fault.LogUnavailable, "end not written").WithCause(err)
	}
	if ended.Wait(ctx) == nil {
		slot.Update(func(state *chain.State) { state.FreeReservation(o) })
	}
	return nil
}

// runStatelessTurn runs one turn whose answer is not stored; its caller receives the given number of
// tokens.
func runStatelessTurn(ctx context.Context, m *Manager, o chain.OpenTurn, budget int, takes time.Duration, tokens int, onTokens func(int)) error {
	slot, err := m.Get(ctx, 0)
	if err != nil {
		return err
	}
	var started *PendingWrite
	err = slot.BeginTurn(func(state *chain.State) error {
		recs, err := state.BeginStateless(time.Now(), o, budget)
		if len(recs) > 0 {
			started = slot.QueueLocked(recs)
			o.GrantedTokens = state.GrantedTokens(o.Program)
		}
		return err
	})
	if err != nil {
		return err
	}
	finish := func(tokens int) {
		var pending *PendingWrite
		slot.Update(func(state *chain.State) {
			if recs := state.EndStateless(o, tokens); len(recs) > 0 {
				pending = slot.QueueLocked(recs)
			}
		})
		if pending != nil {
			_ = slot.WaitOrForward(ctx, pending) // on failure the turn counts at its maximum
		}
	}
	time.Sleep(takes)
	if started != nil {
		if err := started.Wait(ctx); err != nil {
			finish(0)
			return fault.Fail(fault.LogUnavailable, "grant not written").WithCause(err)
		}
		slot.Update(func(state *chain.State) { state.ConfirmGrant(o.Program, o.GrantedTokens) })
	}
	onTokens(tokens)
	finish(tokens)
	return nil
}

// ignoreTokens is for turns whose tokens need not be counted.
func ignoreTokens(int) {}

func newTurn(id, previous string) chain.OpenTurn {
	return chain.OpenTurn{ID: id, Program: "p", Previous: previous, MaxTokens: 10, Retention: time.Minute}
}

// TestTurnCompletesAfterHandover checks that a turn in progress at a handover completes at the next
// owner, and that the handover does not wait for it.
func TestTurnCompletesAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		if err := runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error)
		go func() { ended <- runTurn(ctx, f.managers["a"], newTurn("two", "one"), -1, 3*time.Second, ignoreTokens) }()
		time.Sleep(100 * time.Millisecond)
		f.setOwner("a", "b")
		f.setOwner("b", "b")
		start := time.Now()
		if err := runTurn(ctx, f.managers["b"], newTurn("three", "one"), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("the handover took %v", took)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if err := runTurn(ctx, f.managers["b"], newTurn("four", "two"), -1, 0, ignoreTokens); err != nil {
			t.Errorf("a turn that continues the one begun at the previous owner: %v", err)
		}
	})
}

// TestTurnCompletesAtActualOwner checks that a turn in progress at a handover completes at the box that holds
// the slot, even while its own box considers a third box the owner.
func TestTurnCompletesAtActualOwner(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprintf("the other hangs: %v", hangs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(newLog(), "a", "b", "c")
				defer f.stop()
				ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
				defer stop()
				ended := make(chan error)
				go func() { ended <- runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 2*time.Second, ignoreTokens) }()
				time.Sleep(100 * time.Millisecond)
				for _, box := range []string{"a", "b", "c"} {
					f.setOwner(box, "b")
				}
				if err := runTurn(ctx, f.managers["b"], newTurn("two", ""), -1, 0, ignoreTokens); err != nil {
					t.Fatal(err)
				}
				f.setOwner("a", "c")
				f.hang("c", hangs)
				if err := <-ended; err != nil {
					t.Fatal(err)
				}
				if err := runTurn(ctx, f.managers["b"], newTurn("three", "one"), -1, 0, ignoreTokens); err != nil {
					t.Errorf("a turn that continues the one begun at the previous owner: %v", err)
				}
			})
		})
	}
}

// TestTurnCompletesAtSlowOwner checks that a turn in progress at a handover completes although the next
// owner writes slowly, and that its records are not written repeatedly.
func TestTurnCompletesAtSlowOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		defer stop()
		ended := make(chan error)
		go func() { ended <- runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 2*time.Second, ignoreTokens) }()
		time.Sleep(100 * time.Millisecond)
		f.setOwner("a", "b")
		f.setOwner("b", "b")
		if err := runTurn(ctx, f.managers["b"], newTurn("two", ""), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		log.delayAppends(1200 * time.Millisecond)
		log.mu.Lock()
		before := log.appends
		log.mu.Unlock()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		log.mu.Lock()
		n := log.appends - before
		log.mu.Unlock()
		time.Sleep(5 * time.Second) // all calls in progress end
		if n > 2 {
			t.Errorf("%d appends for the end of one turn", n)
		}
	})
}

// TestFencedOwnerCannotConfirm checks that ConfirmOwnership succeeds while a box owns its slot and fails once
// another box has claimed it unnoticed.
func TestFencedOwnerCannotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		if err := runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		slot, err := f.managers["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := slot.ConfirmOwnership(ctx); err != nil {
			t.Errorf("before the loss: %v", err)
		}
		f.unreachable["a"] = true
		f.setOwner("b", "b")
		if err := runTurn(ctx, f.managers["b"], newTurn("two", "one"), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		if err := slot.ConfirmOwnership(ctx); !fault.Is(err, fault.NotOwner) {
			t.Errorf("after the loss: %v", err)
		}
	})
}

// TestFencedOwnerSpendsOnlyItsReservation checks that a fenced-off owner that is not aware of it delivers
// only the tokens that it had reserved, which the next owner counts as spent.
func TestFencedOwnerSpendsOnlyItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		const budget = 30
		var delivered atomic.Int64
		addTokens := func(n int) { delivered.Add(int64(n)) }
		if err := runTurn(ctx, f.managers["a"], newTurn("one", ""), budget, 0, addTokens); err != nil {
			t.Fatal(err)
		}
		f.unreachable["a"] = true
		f.setOwner("b", "b")
		if err := runTurn(ctx, f.managers["b"], newTurn("two", "one"), budget, 0, addTokens); err != nil {
			t.Fatal(err)
		}
		log.setMode(modeUnavailable)
		var wg sync.WaitGroup
		for _, id := range []string{"three", "four", "five"} {
			wg.Go(func() { _ = runTurn(ctx, f.managers["a"], newTurn(id, "one"), budget, 0, addTokens) })
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		log.setMode(modeUp)
		time.Sleep(3 * time.Second) // writers in progress end
		if got := delivered.Load(); got != budget {
			t.Errorf("%d of %d tokens handed out", got, budget)
		}
	})
}

// TestFencedOwnerSpendsOnlyItsGrant checks that a fenced-off owner that is not aware of it delivers at most
// the tokens of the grant in the log, which the next owner counts as spent.
func TestFencedOwnerSpendsOnlyItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		const budget = 60
		var delivered atomic.Int64
		addTokens := func(n int) { delivered.Add(int64(n)) }
		if err := runStatelessTurn(ctx, f.managers["a"], newTurn("one", ""), budget, 0, 5, addTokens); err != nil {
			t.Fatal(err)
		}
		f.unreachable["a"] = true
		f.setOwner("b", "b")
		for n := range 9 {
			_ = runStatelessTurn(ctx, f.managers["b"], newTurn(fmt.Sprintf("b-%d", n), ""), budget, 0, 10, addTokens)
			_ = runStatelessTurn(ctx, f.managers["a"], newTurn(fmt.Sprintf("a-%d", n), ""), budget, 0, 10, addTokens)
		}
		if got := delivered.Load(); got > budget || got < budget/2 {
			t.Errorf("%d of %d tokens handed out", got, budget)
		}
	})
}

// TestHandoverPreservesBudget checks that a planned handover costs a program none of its budget,
// neither by unused grants nor by a turn in progress.
func TestHandoverPreservesBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newLog(), "a", "b")
		defer f.stop()
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		const budget = 30
		if err := runStatelessTurn(ctx, f.managers["a"], newTurn("one", ""), budget, 0, 5, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		var running sync.WaitGroup
		running.Go(func() {
			_ = runStatelessTurn(ctx, f.managers["a"], newTurn("two", ""), budget, 4*time.Second, 5, ignoreTokens)
		})
		time.Sleep(100 * time.Millisecond)
		for name := range f.managers {
			f.setOwner(name, "b")
		}
		time.Sleep(3 * time.Second)
		if err := runStatelessTurn(ctx, f.managers["b"], newTurn("three", ""), budget, 0, 5, ignoreTokens); err != nil {
			t.Errorf("with a turn in progress at the previous owner: %v", err)
		}
		running.Wait()
		time.Sleep(time.Second)
		for _, id := range []string{"four", "five"} {
			if err := runStatelessTurn(ctx, f.managers["b"], newTurn(id, ""), budget, 0, 5, ignoreTokens); err != nil {
				t.Errorf("turn %s: %v", id, err)
			}
		}
		if err := runStatelessTurn(ctx, f.managers["b"], newTurn("six", ""), budget, 0, 5, ignoreTokens); !fault.Is(err, fault.BudgetSpent) {
			t.Errorf("a turn beyond the budget: %v", err)
		}
	})
}

// TestFailedClaimHoldsNoSlot checks that a box does not hold a slot whose owner record was not
// confirmed before another box became the designated owner. Otherwise it would keep a fenced-off slot
// and never claim it again.
func TestFailedClaimHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		b := f.managers["b"]
		f.setOwner("b", "b")
		b.startClaim(0)
		time.Sleep(newestDelay + 14*time.Millisecond) // fenced and read; the owner record is being written
		log.setMode(modeUnavailable)
		time.Sleep(time.Second)
		f.setOwner("b", "a")
		time.Sleep(6 * time.Second)
		if b.Holds(0) {
			t.Error("b holds a slot that it failed to claim")
		}
		log.setMode(modeUp)
		time.Sleep(3 * time.Second)
	})
}

// TestEpochsAreUniquePerBox checks that boxes that claim a slot concurrently never share an epoch.
func TestEpochsAreUniquePerBox(t *testing.T) {
	f := newFleet(newLog(), "a", "b", "c")
	seen := map[int64]string{}
	for name, m := range f.managers {
		for count := range int64(50) {
			epoch := m.newEpoch(count)
			if other, ok := seen[epoch]; ok {
				t.Fatalf("%s and %s share epoch %d", name, other, epoch)
			}
			seen[epoch] = name
			if epoch>>claimantBits != count {
				t.Errorf("epoch %d does not hold its count %d", epoch, count)
			}
		}
	}
}

// TestConfirmedTurnsSurviveFaults runs random turns on boxes with wrong views, while the log is
// unavailable, loses answers or appends late, boxes are partitioned, and failures are confirmed in error. A later owner must have every
// confirmed turn, and the budget must hold.
func TestConfirmedTurnsSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := generatePlan(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runPlan(plan) })
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

const (
	planBudget = 40
	planSteps  = 40
)

// step is one step of a plan. Each kind uses only some of the fields.
type step struct {
	kind       int
	box, other string
	mode       failureMode
	// previous selects one of the confirmed turns.
	previous    int
	takes, wait time.Duration
}

// The kinds of steps; all other values run a stateful turn.
const (
	stepSetOwner = iota
	stepMode
	stepToggleReachable
	stepStatelessTurn
	stepPartialStatelessTurn
	// stepConfirmFailure has the box consider the other as failed, or none if both are the same.
	stepConfirmFailure
	// stepToggleLog cuts the box off from the log, or ends that.
	stepToggleLog
	stepKinds = 10
)

var planBoxes = []string{"a", "b", "c"}

func generatePlan(rt *rapid.T) []step {
	plan := make([]step, rapid.IntRange(1, planSteps).Draw(rt, "steps"))
	for i := range plan {
		plan[i] = step{
			kind: rapid.IntRange(0, stepKinds).Draw(rt, "kind"), box: rapid.SampledFrom(planBoxes).Draw(rt, "box"),
			other: rapid.SampledFrom(planBoxes).Draw(rt, "other"), mode: failureMode(rapid.IntRange(0, 3).Draw(rt, "mode")),
			previous: rapid.IntRange(0, planSteps).Draw(rt, "previous"),
			takes:    time.Duration(rapid.IntRange(0, 1500).Draw(rt, "takes")) * time.Millisecond,
			wait:     time.Duration(rapid.IntRange(1, 300).Draw(rt, "wait")) * time.Millisecond,
		}
	}
	return plan
}

// runPlan executes the plan and returns the violations that it found.
func runPlan(plan []step) []string {
	log := newLog()
	f := newFleet(log, planBoxes...)
	defer f.stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	confirmed := []string{""}
	var violations []string
	var delivered atomic.Int64
	addTokens := func(n int) { delivered.Add(int64(n)) }
	for n, s := range plan {
		switch s.kind {
		case stepStatelessTurn, stepPartialStatelessTurn:
			wg.Go(func() {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				o := newTurn(fmt.Sprintf("turn-%d", n), "")
				tokens := o.MaxTokens
				if s.kind == stepPartialStatelessTurn {
					tokens /= 5
				}
				_ = runStatelessTurn(ctx, f.managers[s.box], o, planBudget, s.takes, tokens, addTokens) // only delivered tokens count
			})
		case stepSetOwner:
			f.setOwner(s.box, s.other)
		case stepConfirmFailure:
			failed := s.other
			if failed == s.box {
				failed = ""
			}
			f.managers[s.box].Prepare(0)
			f.setFailed(s.box, failed)
		case stepMode:
			log.setMode(s.mode)
		case stepToggleLog:
			f.toggleLog(s.box)
		case stepToggleReachable:
			f.mu.Lock()
			f.unreachable[s.box] = !f.unreachable[s.box]
			f.mu.Unlock()
		default:
			mu.Lock()
			previous := confirmed[s.previous%len(confirmed)]
			mu.Unlock()
			wg.Go(func() {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				id := fmt.Sprintf("turn-%d", n)
				err := runTurn(ctx, f.managers[s.box], newTurn(id, previous), planBudget, s.takes, addTokens)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					confirmed = append(confirmed, id)
				case fault.Is(err, fault.HistoryGone):
					violations = append(violations, err.Error())
				}
			})
		}
		time.Sleep(s.wait)
	}
	wg.Wait()
	log.setMode(modeUp)
	f.mu.Lock()
	clear(f.logCut)
	f.mu.Unlock()
	time.Sleep(3 * time.Second)
	if got := delivered.Load(); got > planBudget {
		violations = append(violations, fmt.Sprintf("%d of %d tokens handed out", got, planBudget))
	}
	return append(violations, verify(f, confirmed[1:], int(delivered.Load()))...)
}

// verify has a box load the slot from the log and compares it with the confirmed turns and the delivered
// tokens.
func verify(f *fleet, confirmed []string, delivered int) []string {
	for name := range f.managers {
		f.setOwner(name, "c")
		f.setFailed(name, "")
		f.setUnreachable(name, false)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	f.managers["c"].Release(ctx, 0) // for good: a slot that is handed over may be taken back as it is in memory
	time.Sleep(2 * reclaimDelay)
	slot, err := f.managers["c"].Get(ctx, 0)
	if err != nil {
		return []string{"no owner at the end: " + err.Error()}
	}
	var violations []string
	slot.Update(func(state *chain.State) {
		for _, id := range confirmed {
			if !state.HasTurn("p", id) {
				violations = append(violations, id+" was confirmed but is lost")
			}
		}
		if got := state.SpentTokens("p"); got < delivered {
			violations = append(violations, fmt.Sprintf("%d tokens were handed out but %d are counted", delivered, got))
		}
	})
	return violations
}

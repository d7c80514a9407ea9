package shard

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/fixed"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

func TestMain(m *testing.M) {
	os.Exit(fixed.Main(m, "1500"))
}

// play takes one turn on the slot as an owner does, and returns nil once the log holds it.
func play(ctx context.Context, s *Shards, o chain.Open, budget int, takes time.Duration) error {
	slot, err := s.Get(ctx, 0)
	if err != nil {
		return err
	}
	var started, ended *Pending
	err = slot.Enter(func(state *chain.State) error {
		if _, err := state.Line(o.Program, o.Previous); err != nil {
			return err
		}
		rec, err := state.Start(time.Now(), o, budget)
		if err != nil {
			return err
		}
		started = slot.QueueLocked([]work.Record{rec})
		return nil
	})
	if err != nil {
		return err
	}
	time.Sleep(takes)
	if err := started.Wait(ctx); err != nil {
		slot.Change(func(state *chain.State) { state.Break(o) })
		return fault.Fail(fault.LogUnavailable, "no start").Because(err)
	}
	slot.Change(func(state *chain.State) {
		_, recs := state.Finish(time.Now(), o, o.Most, []byte(o.ID))
		ended = slot.QueueLocked(recs)
	})
	if err := slot.Await(ctx, ended); err != nil {
		return fault.Fail(fault.LogUnavailable, "no end").Because(err)
	}
	return nil
}

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
		if err := play(ctx, f.shards["a"], open("one", ""), -1, 0); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error)
		go func() { ended <- play(ctx, f.shards["a"], open("two", "one"), -1, 3*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		f.believe("a", "b")
		f.believe("b", "b")
		start := time.Now()
		if err := play(ctx, f.shards["b"], open("three", "one"), -1, 0); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("the hand-over took %v", took)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if err := play(ctx, f.shards["b"], open("four", "two"), -1, 0); err != nil {
			t.Errorf("the turn that began at the owner before: %v", err)
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
		if err := play(ctx, f.shards["a"], open("one", ""), -1, 0); err != nil {
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
		if err := play(ctx, f.shards["b"], open("two", "one"), -1, 0); err != nil {
			t.Fatal(err)
		}
		if err := slot.Confirm(ctx); !fault.Is(err, fault.NotOwner) {
			t.Errorf("after the loss: %v", err)
		}
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
		synctest.Test(t, func(*testing.T) { playPlan(rt) })
	})
}

const (
	planBudget = 60
	planSteps  = 25
)

func playPlan(rt *rapid.T) {
	names := []string{"a", "b", "c"}
	log := newLog()
	f := newFleet(log, names...)
	defer f.stop()
	var all sync.WaitGroup
	var mu sync.Mutex
	confirmed := []string{""}
	handed := 0
	for n := range planSteps {
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			f.believe(rapid.SampledFrom(names).Draw(rt, "box"), rapid.SampledFrom(names).Draw(rt, "owner"))
		case 1:
			log.set(mode(rapid.IntRange(0, 3).Draw(rt, "mode")))
		case 2:
			f.mu.Lock()
			box := rapid.SampledFrom(names).Draw(rt, "cut")
			f.cut[box] = !f.cut[box]
			f.mu.Unlock()
		default:
			s := f.shards[rapid.SampledFrom(names).Draw(rt, "at")]
			mu.Lock()
			previous := rapid.SampledFrom(confirmed).Draw(rt, "previous")
			mu.Unlock()
			takes := time.Duration(rapid.IntRange(0, 400).Draw(rt, "takes")) * time.Millisecond
			all.Go(func() {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				defer stop()
				id := fmt.Sprintf("turn-%d", n)
				if play(ctx, s, open(id, previous), planBudget, takes) == nil {
					mu.Lock()
					defer mu.Unlock()
					confirmed = append(confirmed, id)
					handed += 10
				}
			})
		}
		time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(rt, "pause")) * time.Millisecond)
	}
	all.Wait()
	log.set(up)
	time.Sleep(3 * time.Second)
	judge(rt, f, confirmed, handed)
}

func judge(rt *rapid.T, f *fleet, confirmed []string, handed int) {
	for name := range f.shards {
		f.believe(name, "c")
		f.cut[name] = false
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if err := f.shards["c"].Yield(ctx, 0); err != nil { // so that the slot is read back from the log
		rt.Fatal(err)
	}
	time.Sleep(2 * yieldFor)
	slot, err := f.shards["c"].Get(ctx, 0)
	if err != nil {
		rt.Fatalf("no owner at the end: %v", err)
	}
	slot.Change(func(state *chain.State) {
		for _, id := range confirmed[1:] {
			if !state.Has("p", id) {
				rt.Errorf("%s was confirmed and is lost", id)
			}
		}
	})
	if diff := cmp.Diff(true, handed <= planBudget+10); diff != "" {
		rt.Errorf("%d of %d tokens handed out", handed, planBudget)
	}
}

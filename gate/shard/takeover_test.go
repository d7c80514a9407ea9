package shard

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// runTakeover runs a test on a fleet of two boxes, of which a owns the slot and has run the turn "one".
func runTakeover(t *testing.T, test func(t *testing.T, ctx context.Context, f *fleet, log *memLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
		defer stop()
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		if err := runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		test(t, ctx, f, log)
	})
}

// TestNoTakeoverWithoutConfirmation checks that the next box in the ranking does not claim a slot, however often
// it is asked, while the failure of the owner is not confirmed.
func TestNoTakeoverWithoutConfirmation(t *testing.T) {
	runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
		f.setUnreachable("a", true)
		before := log.fence()
		for range 100 {
			if _, err := f.managers["b"].Get(ctx, 0); !fault.Is(err, fault.NotOwner) {
				t.Fatalf("fault %v", err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.managers["b"].Rebalance()
		time.Sleep(time.Second)
		if log.fence() != before {
			t.Error("the owner was fenced off")
		}
	})
}

// TestTakeoverAfterConfirmation checks that a turn runs on the next box right after the confirmation, that a late
// write of the old owner is refused and makes it step down, and that it gets the slot back by a handover.
func TestTakeoverAfterConfirmation(t *testing.T) {
	runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
		a, b := f.managers["a"], f.managers["b"]
		late, err := a.Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.setUnreachable("a", true)
		f.setFailed("b", "a")
		start := time.Now()
		if err := runTurn(ctx, b, newTurn("two", "one"), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("the turn took %v", took)
		}
		if err := late.Write(ctx, []work.Record{{Key: "t", Value: []byte("late")}}); !fault.Is(err, fault.NotOwner) {
			t.Errorf("a late write of the old owner: %v", err)
		}
		if a.Holds(0) || !b.Holds(0) {
			t.Errorf("holds: a %v, b %v", a.Holds(0), b.Holds(0))
		}
		f.setUnreachable("a", false)
		f.setFailed("b", "")
		claims := log.claimCount()
		if err := runTurn(ctx, a, newTurn("three", "two"), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		if !a.Holds(0) || b.Holds(0) || log.claimCount() != claims+1 {
			t.Errorf("holds: a %v, b %v after %d claims", a.Holds(0), b.Holds(0), log.claimCount()-claims)
		}
	})
}

// TestOnlyRequestedSlotIsTakenOver checks that a confirmed failure does not move the slots that no turn needs, so
// that a box suspected in error loses little.
func TestOnlyRequestedSlotIsTakenOver(t *testing.T) {
	runTakeover(t, func(t *testing.T, _ context.Context, f *fleet, _ *memLog) {
		f.setFailed("b", "a")
		f.managers["b"].Rebalance()
		time.Sleep(time.Second)
		if f.managers["b"].Holds(0) {
			t.Error("a slot was taken over without a turn for it")
		}
	})
}

// TestFlappingOwner guards against two boxes that take the slot from each other again and again while the owner is
// reachable for some of the time, or for some of the boxes.
func TestFlappingOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// failed reports whether b considers a as failed in the given step of 100 ms.
		failed func(step int) bool
	}{
		{"every half second", func(step int) bool { return step/5%2 == 0 }},
		{"always, though it is alive", func(int) bool { return true }},
		{"for a moment at times", func(step int) bool { return step%17 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
				before, turns := log.claimCount(), 0
				previous := "one"
				for step := range 600 {
					failed, box := "", "a"
					if c.failed(step) {
						failed, box = "a", "b"
					}
					f.setFailed("b", failed)
					id := fmt.Sprintf("%d", step)
					if runTurn(ctx, f.managers[box], newTurn(id, previous), -1, 0, ignoreTokens) == nil {
						previous = id
						turns++
					}
					// a also gets turns of callers that reach it.
					id += "-a"
					if runTurn(ctx, f.managers["a"], newTurn(id, previous), -1, 0, ignoreTokens) == nil {
						previous = id
						turns++
					}
					time.Sleep(100 * time.Millisecond)
				}
				// Takeovers are at least 3, 6, 12 and then 24 s apart; after each, a claims the slot back.
				if got := log.claimCount() - before; got > 12 {
					t.Errorf("%d claims in a minute", got)
				}
				if turns < 500 {
					t.Errorf("only %d turns ran", turns)
				}
			})
		})
	}
}

// TestClaimWonWhileStopping guards against a claim that ends during a stop and is dropped: the slot must be
// released, and a claim that has not fenced off the previous owner yet must not do so any more.
func TestClaimWonWhileStopping(t *testing.T) {
	for name, c := range map[string]struct {
		after         time.Duration
		wins, fencing bool
	}{
		"while the slot is read":         {40 * time.Millisecond, false, false},
		"while the owner is fenced off":  {newestDelay + 11*time.Millisecond, true, true},
		"while the owner record is sent": {newestDelay + 18*time.Millisecond, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
				var lines bytes.Buffer
				b := f.managers["b"]
				b.logger = slog.New(slog.NewTextHandler(&lines, nil))
				f.setUnreachable("a", true)
				f.setOwner("b", "b")
				claims, fence := log.claimCount(), log.fence()
				b.startClaim(0)
				time.Sleep(c.after)
				if err := b.Stop(ctx); err != nil {
					t.Fatal(err)
				}
				if won := log.claimCount() > claims; won != c.wins {
					t.Errorf("the claim is won: %v", won)
				}
				if fenced := log.fence() != fence; fenced != c.fencing {
					t.Errorf("the owner is fenced off: %v", fenced)
				}
				if released := strings.Contains(lines.String(), "shard: released slot"); released != c.wins || b.Holds(0) {
					t.Errorf("released %v, holds %v:\n%s", released, b.Holds(0), lines.String())
				}
			})
		})
	}
}

// TestTakeoverDelayIsBounded guards against an overflow of the doubled delay after many takeovers, which would let the
// slot move all the time.
func TestTakeoverDelayIsBounded(t *testing.T) {
	want := map[int]time.Duration{1: 3 * time.Second, 2: 6 * time.Second, 3: 12 * time.Second, 4: 24 * time.Second, 5: 24 * time.Second, 70: 24 * time.Second, 1 << 40: 24 * time.Second}
	for count, delay := range want {
		if got := (takeoverStreak{count: count}).delay(); got != delay {
			t.Errorf("%v after %d takeovers, want %v", got, count, delay)
		}
	}
}

// TestLongReadAheadIsNotRepeated guards against a slot that is read again and again because reading it takes longer
// than preloadTTL, and checks that the claim uses the read.
func TestLongReadAheadIsNotRepeated(t *testing.T) {
	runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
		b := f.managers["b"]
		previous := "one"
		for n := range 20 {
			id := fmt.Sprint(n)
			if err := runTurn(ctx, f.managers["a"], newTurn(id, previous), -1, 0, ignoreTokens); err != nil {
				t.Fatal(err)
			}
			previous = id
		}
		log.pageNewest(1, preloadTTL/10) // some 20 pages
		b.Prepare(0)
		first := b.preloads[0]
		for range 20 {
			time.Sleep(preloadTTL / 10)
			b.Prepare(0)
			if b.preloads[0] != first {
				t.Fatal("the slot is read anew")
			}
		}
		<-first.done
		time.Sleep(preloadTTL / 2)
		f.setUnreachable("a", true)
		f.setFailed("b", "a")
		start := time.Now()
		if _, err := b.Get(ctx, 0); err != nil || time.Since(start) > 200*time.Millisecond {
			t.Errorf("claimed after %v: %v", time.Since(start), err)
		}
	})
}

// TestRequestsShareTakeover guards against a second turn that is refused while the first one's takeover is in progress,
// and against a delay after a takeover that has taken nothing, as the owner answered again before the fence.
func TestRequestsShareTakeover(t *testing.T) {
	runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
		b, before := f.managers["b"], log.claimCount()
		f.setUnreachable("a", true)
		f.setFailed("b", "a")
		first := b.startTakeover(0)
		time.Sleep(newestDelay / 2)
		if first == nil || b.startTakeover(0) != first {
			t.Error("the second request does not wait for the takeover in progress")
		}
		f.setFailed("b", "")
		<-first
		if b.Holds(0) || log.claimCount() != before {
			t.Fatal("the takeover was not given up")
		}
		f.setFailed("b", "a")
		if _, err := b.Get(ctx, 0); err != nil {
			t.Errorf("a takeover after one that was given up: %v", err)
		}
		if got := b.takeovers[takeover{number: 0, box: "a"}].count; got != 1 {
			t.Errorf("%d takeovers counted", got)
		}
	})
}

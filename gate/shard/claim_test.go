package shard

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/chain"
)

// TestClaimSlowToLoad checks that a slot that takes many times callTimeout to read can still be
// claimed.
func TestClaimSlowToLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		f.setOwner("a", "a")
		f.setOwner("b", "a")
		last := ""
		for n := range 20 {
			id := strconv.Itoa(n)
			if err := runTurn(ctx, f.managers["a"], newTurn(id, last), 1000, time.Millisecond, ignoreTokens); err != nil {
				t.Fatal(err)
			}
			last = id
		}
		log.pageNewest(1, callTimeout/2)
		f.hang("a", true)
		f.setOwner("b", "b")
		b := f.managers["b"]
		b.startClaim(0)
		time.Sleep(time.Minute)
		slot, err := b.Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		slot.Update(func(state *chain.State) {
			if text, ok := state.ChainText(last); !ok || text == nil {
				t.Errorf("the next owner does not have the last turn")
			}
		})
	})
}

// TestClaimAfterPrepare checks that a slot that was read ahead is claimed without another read, and that the next
// owner has the turns that were written after it was read.
func TestClaimAfterPrepare(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  bool
		from, to time.Duration
	}{
		{"not read ahead", false, 500 * time.Millisecond, 700 * time.Millisecond},
		{"read ahead", true, 0, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTakeover(t, func(t *testing.T, ctx context.Context, f *fleet, log *memLog) {
				a, b := f.managers["a"], f.managers["b"]
				last := "one"
				for n := range 20 {
					id := strconv.Itoa(n)
					if err := runTurn(ctx, a, newTurn(id, last), -1, 0, ignoreTokens); err != nil {
						t.Fatal(err)
					}
					last = id
				}
				log.pageNewest(1, 20*time.Millisecond)
				if c.prepare {
					b.Prepare(0)
					b.Prepare(0)
				}
				time.Sleep(100 * time.Millisecond) // the failure is confirmed meanwhile
				if err := runTurn(ctx, a, newTurn("late", last), -1, 0, ignoreTokens); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				f.setUnreachable("a", true)
				f.setFailed("b", "a")
				start := time.Now()
				slot, err := b.claim(ctx)
				if err != nil {
					t.Fatal(err)
				}
				took := time.Since(start)
				t.Logf("claimed after %v", took)
				if took < c.from || took > c.to {
					t.Errorf("the claim took %v", took)
				}
				slot.Update(func(state *chain.State) {
					if text, ok := state.ChainText("late"); !ok || text == nil {
						t.Error("the next owner does not have the last turn")
					}
				})
			})
		})
	}
}

// claim returns the slot once it is claimed.
func (m *Manager) claim(ctx context.Context) (*Slot, error) {
	for {
		slot, err := m.Get(ctx, 0)
		if err == nil || ctx.Err() != nil {
			return slot, err
		}
		time.Sleep(time.Millisecond)
	}
}

// TestUnusedPreloadIsDropped checks that a slot that was read ahead, but not claimed, does not stay in memory.
func TestUnusedPreloadIsDropped(t *testing.T) {
	runTakeover(t, func(t *testing.T, _ context.Context, f *fleet, _ *memLog) {
		b := f.managers["b"]
		b.Prepare(0)
		time.Sleep(2 * preloadTTL)
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.preloads) > 0 {
			t.Error("the records are still held")
		}
	})
}

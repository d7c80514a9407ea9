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

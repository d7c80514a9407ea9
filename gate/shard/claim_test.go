package shard

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/chain"
)

// TestClaimOfALargeSlot checks that a slot which takes a box much longer to read than one call may is claimed: each
// claim used to be given up after 4 s and begun anew, so that its programs had no owner for good.
func TestClaimOfALargeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := newLog()
		f := newFleet(log, "a", "b")
		defer f.stop()
		f.believe("a", "a")
		f.believe("b", "a")
		last := ""
		for n := range 20 {
			id := strconv.Itoa(n)
			if err := play(ctx, f.shards["a"], open(id, last), 1000, time.Millisecond, nobody); err != nil {
				t.Fatal(err)
			}
			last = id
		}
		log.readBy(1, callTimeout/2)
		f.hang("a", true)
		f.believe("b", "b")
		b := f.shards["b"]
		b.claim(0)
		time.Sleep(time.Minute)
		slot, err := b.Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		slot.Change(func(state *chain.State) {
			if text, ok := state.Find(last); !ok || text == nil {
				t.Errorf("the last turn is not known to the next owner")
			}
		})
	})
}

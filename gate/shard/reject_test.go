package shard

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// TestRejectedRecordFailsAlone guards against a record that the log will never take: the append was repeated for good, in front
// of all other records of the slot.
func TestRejectedRecordFailsAlone(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, log *memLog) {
		ctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		slot, err := f.managers["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		log.mu.Lock()
		log.rejects = func(rec work.Record) bool { return rec.Key == "x7" || rec.Key == "x31" }
		log.mu.Unlock()
		var all sync.WaitGroup
		for n := range 40 {
			all.Go(func() {
				err := slot.Write(ctx, []work.Record{{Key: "x" + strconv.Itoa(n), Value: []byte("v")}})
				if bad := n == 7 || n == 31; bad != fault.Is(err, fault.LogRejected) || bad != (err != nil) {
					t.Errorf("record %d: %v", n, err)
				}
			})
		}
		all.Wait()
		if !f.managers["a"].Holds(0) {
			t.Error("the slot was lost")
		}
		// The next owner finds all other records, so that no append number was skipped or used twice.
		kept := 0
		_, err = work.AllNewest(ctx, log, work.Shard{Topic: work.Turns}, time.Second, func(rec work.Record) {
			if rec.Key[0] == 'x' {
				kept++
			}
		})
		if err != nil || kept != 38 {
			t.Errorf("the log keeps %d records: %v", kept, err)
		}
	})
}

// TestRejectionAfterLostAnswerGivesSlotUp checks that the number of an append is not used again if the log may have taken it
// with other records, which would then be taken for those of the next append.
func TestRejectionAfterLostAnswerGivesSlotUp(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, log *memLog) {
		slot, err := f.managers["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		log.setMode(modeLostAnswers)
		time.AfterFunc(20*time.Millisecond, func() {
			log.mu.Lock()
			defer log.mu.Unlock()
			log.mode, log.rejects = modeUp, func(rec work.Record) bool { return rec.Key == "x" }
		})
		if err := slot.Write(ctx, []work.Record{{Key: "x", Value: []byte("v")}}); !fault.Is(err, fault.NotOwner) {
			t.Errorf("error %v", err)
		}
		if !slot.isLost() {
			t.Error("the slot is still written to")
		}
		if _, err := f.managers["a"].claim(ctx); err != nil {
			t.Errorf("the slot was not claimed again: %v", err)
		}
	})
}

// TestMalformedDeliveryLeavesNothing guards against records of a turn of which only some are applied: they stay in the state of
// the owner that refuses the delivery, and no log holds them.
func TestMalformedDeliveryLeavesNothing(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, _ *memLog) {
		o := newTurn("one", "")
		o.Program = "delivered"
		state := chain.New()
		recs, err := state.BeginStateful(time.Now(), o, -1)
		if err != nil {
			t.Fatal(err)
		}
		recs = append(recs, work.Record{Key: "tbad", Value: []byte{0xff}})
		if err := f.managers["a"].Deliver(ctx, 0, recs); !fault.Is(err, fault.Protocol) {
			t.Errorf("error %v", err)
		}
		slot, err := f.managers["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		slot.Update(func(state *chain.State) {
			if state.HasStarted(o.Program) {
				t.Error("the program's reservation is left behind")
			}
		})
	})
}

package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
)

// namedOwner returns the name of the box that the error names as the owner; empty if it names none.
func namedOwner(err error) string {
	var moved *work.MovedError
	if !errors.As(err, &moved) {
		return ""
	}
	return moved.Owner.Box.Name
}

// runDisputed runs a test on three boxes. a owns the slot, has run the turn "one" and takes itself for the owner, as c
// does of a.
func runDisputed(t *testing.T, test func(ctx context.Context, f *fleet, log *memLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		log := newLog()
		f := newFleet(log, "a", "b", "c")
		defer f.stop()
		if err := runTurn(ctx, f.managers["a"], newTurn("one", ""), -1, 0, ignoreTokens); err != nil {
			t.Fatal(err)
		}
		test(ctx, f, log)
		time.Sleep(time.Second) // appends in progress end
	})
}

// TestOwnerInUseIsNotDisplaced guards against a box whose view lacks the owner of a slot: it fenced the owner off, whose
// turns then failed.
func TestOwnerInUseIsNotDisplaced(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, log *memLog) {
		f.setOwner("b", "b")
		before := log.fence()
		for range 20 {
			_, err := f.managers["b"].Get(ctx, 0)
			if !fault.Is(err, fault.NotOwner) {
				t.Fatalf("error %v", err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		_, err := f.managers["b"].Get(ctx, 0)
		if got := namedOwner(err); got != "a" || log.fence() != before {
			t.Errorf("the refusal names %q, the slot was claimed: %v", got, log.fence() != before)
		}
		f.setOwner("a", "b")
		time.Sleep(2 * keptDelay)
		if !f.managers["b"].Holds(0) {
			t.Error("the slot was not claimed although its owner does not keep it any more")
		}
	})
}

// TestFencedOwnerRunsNothing guards against an owner that was fenced off without being asked, and ran turns until its next
// append, which failed: at once if it is told, and later if it can't be.
func TestFencedOwnerRunsNothing(t *testing.T) {
	for name, cut := range map[string]bool{"told": false, "not reached by the next owner": true} {
		t.Run(name, func(t *testing.T) {
			runDisputed(t, func(ctx context.Context, f *fleet, _ *memLog) {
				fenced, err := f.managers["a"].Get(ctx, 0)
				if err != nil {
					t.Fatal(err)
				}
				f.setUnreachable("a", cut)
				f.setOwner("b", "b")
				f.setFailed("b", "a")
				if _, err := f.managers["b"].claim(ctx); err != nil {
					t.Fatal(err)
				}
				f.setUnreachable("a", false)
				if cut {
					time.Sleep(ownershipTTL + 100*time.Millisecond)
				}
				if err := fenced.AwaitOwnership(ctx); !fault.Is(err, fault.NotOwner) || !fault.From(err).NotRun {
					t.Errorf("a turn may begin: %v", err)
				}
				if owner, ok := f.managers["a"].LookUpOwner(ctx, 0); !ok || owner.Box.Name != "b" {
					t.Errorf("the log names %q", owner.Box.Name)
				}
			})
		})
	}
}

// TestOwnershipIsProvenOnce checks that turns on a busy slot don't each wait for an append, and that none waits long for a
// log that does not answer.
func TestOwnershipIsProvenOnce(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, log *memLog) {
		slot, err := f.managers["a"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxOwnershipTTL)
		before := log.appendCount()
		for range 10 {
			if err := slot.AwaitOwnership(ctx); err != nil {
				t.Fatal(err)
			}
		}
		if got := log.appendCount() - before; got != 1 {
			t.Errorf("%d appends", got)
		}
		log.setMode(modeUnavailable)
		time.Sleep(maxOwnershipTTL)
		start := time.Now()
		for range 10 {
			if err := slot.AwaitOwnership(ctx); err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(start); took > 2*ownershipTimeout {
			t.Errorf("ten turns waited %v for the log", took)
		}
		log.setMode(modeUp)
	})
}

// TestHandoverNamesNextOwner guards against a box that handed its slot over and refused turns without naming the next
// owner, whom other views did not have.
func TestHandoverNamesNextOwner(t *testing.T) {
	runDisputed(t, func(ctx context.Context, f *fleet, _ *memLog) {
		f.setOwner("b", "b")
		f.setOwner("a", "b")
		if _, err := f.managers["b"].claim(ctx); err != nil {
			t.Fatal(err)
		}
		f.setOwner("a", "c")
		_, err := f.managers["a"].Get(ctx, 0)
		if got := namedOwner(err); got != "b" {
			t.Errorf("the previous owner names %q", got)
		}
		if owner, ok := f.managers["c"].LookUpOwner(ctx, 0); !ok || owner.Box.Name != "b" {
			t.Errorf("the log names %q", owner.Box.Name)
		}
	})
}

// TestRecordsReachOwnerThatIsNotRanked checks that the end of a turn is delivered to the box that owns the slot by then,
// though the view of the box that ran it ranks others.
func TestRecordsReachOwnerThatIsNotRanked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
		defer stop()
		f := newFleet(newLog(), "a", "b", "c", "d", "e", "z")
		defer f.stop()
		slot, err := f.managers["a"].claim(ctx)
		if err != nil {
			t.Fatal(err)
		}
		f.setOwner("z", "z")
		f.setFailed("z", "a")
		if _, err := f.managers["z"].claim(ctx); err != nil {
			t.Fatal(err)
		}
		recs := newTurnRecords(t, "late")
		if err := slot.WaitOrForward(ctx, slot.Queue(recs)); err != nil {
			t.Errorf("the records were not delivered: %v", err)
		}
		got, err := f.managers["z"].Get(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(1, got.state.ProgramCount()); diff != "" {
			t.Errorf("programs of the owner (-want +got):\n%s", diff)
		}
	})
}

// newTurnRecords returns the records of an answered turn.
func newTurnRecords(t *testing.T, id string) []work.Record {
	t.Helper()
	state := chain.New()
	turn := newTurn(id, "")
	if _, err := state.BeginStateful(time.Now(), turn, -1); err != nil {
		t.Fatal(err)
	}
	_, recs := state.Finish(time.Now(), turn, 1, []byte(id))
	return recs
}

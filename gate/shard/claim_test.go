package shard

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/work"
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

// shortLog is a log whose reads return only the given numbers of its records, one number a read.
type shortLog struct {
	Log
	recs  []work.Record
	reads []int
}

func (l *shortLog) Read(_ context.Context, _ work.Shard, from int64, _ time.Duration) (work.Page, error) {
	n := int64(len(l.recs)) - from
	if len(l.reads) > 0 {
		n = min(n, int64(l.reads[0]))
		l.reads = l.reads[1:]
	}
	return work.Page{Records: l.recs[from : from+n], Next: from + n, End: int64(len(l.recs))}, nil
}

// TestClaimReadsOnAfterShortPage checks that a slot is not claimed without the records that a read of the log left out.
func TestClaimReadsOnAfterShortPage(t *testing.T) {
	var recs []work.Record
	for _, box := range []string{"a", "b", "c"} {
		recs = append(recs, work.Record{Key: ownerKey, Value: []byte(`{"box":"` + box + `"}`)})
	}
	for name, c := range map[string]struct {
		reads []int
		owner string
		fails bool
	}{
		"whole":                 {nil, "c", false},
		"some records":          {[]int{1, 1}, "c", false},
		"no records":            {[]int{0}, "", true},
		"no records after some": {[]int{2, 0}, "b", true},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{ctx: t.Context(), log: &shortLog{recs: recs, reads: c.reads}, logger: slog.New(slog.DiscardHandler), reads: newReadQueue(work.Box{})}
			read := m.newSlotRead(0)
			err := read.catchUp(readFenced)
			if diff := cmp.Diff([]any{c.owner, c.fails}, []any{read.loader.owner.Box, fault.Is(err, fault.LogUnavailable)}); diff != "" {
				t.Errorf("newest owner read and failure %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

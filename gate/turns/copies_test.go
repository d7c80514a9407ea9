package turns

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/target"
	"mulleingate.dev/gate/work"
)

// memLog is a log in memory with one slot.
type memLog struct {
	mu   sync.Mutex
	recs []work.Record
	// rejects says which records the log never takes; nil if it takes all. down makes all appends fail.
	rejects func(rec work.Record) bool
	down    bool
}

func (l *memLog) set(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

func (l *memLog) Append(_ context.Context, _ work.Shard, _ work.Writer, recs []work.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return fault.Refuse(fault.LogUnavailable, "down")
	}
	if l.rejects != nil && slices.ContainsFunc(recs, l.rejects) {
		return fault.Refuse(fault.LogRejected, "rejected")
	}
	l.recs = append(l.recs, recs...)
	return nil
}

func (l *memLog) Newest(context.Context, work.Shard, string) (work.Batch, error) {
	return work.Batch{}, nil
}

func (l *memLog) Read(_ context.Context, _ work.Shard, from int64, _ time.Duration) (work.Page, error) {
	return work.Page{Next: from, End: from}, nil
}

// state returns the state that the next owner of the slot builds from the log.
func (l *memLog) state(t *testing.T) *chain.State {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := chain.New()
	for _, rec := range l.recs {
		if rec.Key[0] == '~' {
			continue // the owner record
		}
		if err := state.Apply(rec); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

// onlyBox is the view of a box that is alone.
type onlyBox struct{ self work.Box }

func (b onlyBox) Owner(string) (work.Box, bool)      { return b.self, true }
func (b onlyBox) Owners(string, int) []work.Box      { return []work.Box{b.self} }
func (onlyBox) Find(string, string) (work.Box, bool) { return work.Box{}, false }
func (onlyBox) Settled() bool                        { return true }
func (onlyBox) Failed(work.Box) bool                 { return false }
func (onlyBox) FailedRecently(work.Box) bool         { return false }

// heldSlot returns a slot of a box that is alone.
func heldSlot(t *testing.T, log *memLog) *shard.Slot {
	t.Helper()
	self := work.Box{Name: "a", Incarnation: "1"}
	m := shard.New(self, shard.NewLayout(1), log, onlyBox{self}, nil, noCounts{}, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	for range 100 {
		if slot, err := m.Get(t.Context(), 0); err == nil {
			return slot
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the slot was not claimed")
	return nil
}

// startTurn begins a turn of the program on the slot that goes on from the turn "earlier" of another one, whose chain has
// the given text.
func startTurn(r *Runner, slot *shard.Slot, id string, base []byte, budget int) (*turn, error) {
	call := &work.Call{ID: id, Deadline: time.Now().Add(time.Minute), Turn: &work.Turn{Program: "p", Previous: "earlier", Base: base, Budget: budget}}
	t := &turn{Runner: r, slot: slot, call: call, route: &work.Route{Stateful: true, Retention: time.Minute}, input: []byte("go on")}
	t.open = chain.OpenTurn{
		ID: call.QualifiedName(id), Program: call.QualifiedName("p"), Previous: call.QualifiedName("earlier"), MaxTokens: 10, Retention: time.Minute, MaxText: 1 << 10,
	}
	t.lease = &target.Lease{Replica: work.Replica{ID: "r"}}
	t.answer = newAnswerWriter(t, nil)
	t.ledger = newLedger(t)
	return t, slot.BeginTurn(t.enter)
}

// TestRefusedTurnLeavesNoCopy guards against a turn that is lost with its owner: it goes on from one of another program, was
// refused at its first try, and only the copy in memory was kept, which the next try took for one in the log.
func TestRefusedTurnLeavesNoCopy(t *testing.T) {
	base := make([]byte, longPrompt)
	for _, c := range []struct {
		why    string
		budget int
		full   bool
	}{
		{why: "memory", budget: -1, full: true},
		{why: "budget", budget: 9},
	} {
		t.Run(c.why, func(t *testing.T) {
			log := &memLog{}
			slot := heldSlot(t, log)
			r := New(nil, nil, 1<<20, memory.NewBudgets(0), noCounts{}, slog.New(slog.DiscardHandler))
			taken := int64(0)
			if c.full {
				taken = r.memory.Prompts.Limit()
				r.memory.Prompts.Reserve(taken)
			}
			refused, err := startTurn(r, slot, "first", base, c.budget)
			if err == nil || !fault.From(err).NotRun {
				t.Fatalf("not refused: %v", err)
			}
			refused.releaseMemory()
			slot.Update(func(state *chain.State) {
				if diff := cmp.Diff(0, state.ProgramCount()); diff != "" {
					t.Errorf("programs after the refusal (-want +got):\n%s", diff)
				}
			})
			r.memory.Prompts.Release(taken)
			served, err := startTurn(r, slot, "second", base, -1)
			if err != nil {
				t.Fatal(err)
			}
			if err := served.started.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, err := log.state(t).History(served.open.Program, served.open.Previous); err != nil {
				t.Errorf("the next owner does not have what the turn goes on from: %v", err)
			}
		})
	}
}

// TestRejectedCopyIsNotUsed guards against a turn that is lost with its owner: it goes on from a copy that the log has rejected
// for an earlier try, but that was still in memory.
func TestRejectedCopyIsNotUsed(t *testing.T) {
	log := &memLog{rejects: func(rec work.Record) bool { return rec.Key[0] == 'c' }}
	slot := heldSlot(t, log)
	r := New(nil, nil, 1<<20, memory.NewBudgets(0), noCounts{}, slog.New(slog.DiscardHandler))
	base := make([]byte, 3<<10) // several records
	first, err := startTurn(r, slot, "first", base, -1)
	if err != nil {
		t.Fatal(err)
	}
	if err := first.started.Wait(t.Context()); !fault.Is(err, fault.LogRejected) {
		t.Errorf("the log has not rejected the copy: %v", err)
	}
	first.ledger.abort()
	log.set(func() { log.rejects = nil })
	second, err := startTurn(r, slot, "second", base, -1)
	if err != nil {
		t.Fatal(err)
	}
	if err := second.ledger.finish(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := log.state(t).History(second.open.Program, second.open.ID); err != nil {
		t.Errorf("the next owner does not have the chain of an answered turn: %v", err)
	}
}

// TestRejectedEndCountsAtMost checks that a turn whose end the log rejects is unknown to later turns, and counts at its maximum
// here as it does at the next owner.
func TestRejectedEndCountsAtMost(t *testing.T) {
	log := &memLog{}
	slot := heldSlot(t, log)
	r := New(nil, nil, 1<<20, memory.NewBudgets(0), noCounts{}, slog.New(slog.DiscardHandler))
	tr, err := startTurn(r, slot, "first", []byte("base"), -1)
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.started.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.set(func() { log.rejects = func(rec work.Record) bool { return rec.Key[0] == 't' } })
	if err := tr.ledger.finish(t.Context()); err == nil {
		t.Error("the answer counts as whole")
	}
	slot.Update(func(state *chain.State) {
		if state.HasTurn(tr.open.Program, tr.open.ID) {
			t.Error("later turns may go on from the turn")
		}
		if diff := cmp.Diff(log.state(t).SpentTokens(tr.open.Program), state.SpentTokens(tr.open.Program)); diff != "" {
			t.Errorf("tokens counted at the next owner and here (-next +here):\n%s", diff)
		}
	})
}

// TestProgramIsStoppedOnceTheLogKnows checks that a refusal that ends a program only goes out once the log holds how long its
// spending is kept: all boxes may be killed right after it.
func TestProgramIsStoppedOnceTheLogKnows(t *testing.T) {
	log := &memLog{}
	slot := heldSlot(t, log)
	r := New(nil, nil, 1<<20, memory.NewBudgets(0), noCounts{}, slog.New(slog.DiscardHandler))
	tr, err := startTurn(r, slot, "first", []byte("base"), 10)
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.ledger.finish(t.Context()); err != nil {
		t.Fatal(err)
	}
	call := *tr.call
	call.ID, call.Turn = "second", &work.Turn{Program: "p", Budget: 9}
	route := *tr.route
	route.Retention = time.Hour // longer than the log keeps the program
	log.set(func() { log.down = true })
	if err := r.Run(t.Context(), slot, &call, &route, nil); !fault.Is(err, fault.LogUnavailable) || !fault.From(err).NotRun {
		t.Errorf("without the log: %v", err)
	}
	log.set(func() { log.down = false })
	for range 100 {
		if err = r.Run(t.Context(), slot, &call, &route, nil); fault.Is(err, fault.BudgetSpent) {
			break
		}
	}
	if !fault.Is(err, fault.BudgetSpent) {
		t.Fatalf("with the log: %v", err)
	}
	state := log.state(t)
	state.Expire(time.Now().Add(route.Retention), 100)
	if got := state.SpentTokens(tr.open.Program); got == 0 {
		t.Error("the next owner has forgotten what the program has spent")
	}
}

package admit

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/lease"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/sched"
)

// everywhere allows all places but one zone.
type everywhere struct{ not string }

func (e everywhere) Allowed(in types.RuleInput) bool { return in.Zone != e.not }
func (e everywhere) Share(string) int                { return 1 }

func newLoop(t *testing.T, places Places) *Loop {
	t.Helper()
	opts := Options{Strategy: sched.Scored, Order: sched.Age, MaxWait: time.Second, Starve: 2 * time.Second, Seed: 1}
	l := New("a", opts, places, meter.New(), slog.New(slog.DiscardHandler))
	if err := l.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var list []types.Target
	for _, name := range []string{"e1", "e2"} {
		list = append(list, types.Target{Name: name, Kind: types.Engine, Zone: "a", Models: []string{"m"}})
	}
	l.Tell(lease.Targets{List: list})
	for _, name := range []string{"e1", "e2"} {
		l.Tell(lease.Report{Load: types.LoadReport{
			Name: name, At: time.Now(), MaxBatch: 2, PrefillRate: 1000, StepTime: types.Duration(time.Millisecond), Models: []string{"m"},
		}})
	}
	return l
}

func ask(program string) lease.Request {
	return lease.Request{
		Input: types.RuleInput{Model: "m", Workspace: "one"}, Program: program, PromptTokens: 10, ExpectedTokens: 10,
		Progress: sched.ProgramProgress{Started: time.Now(), Arrived: time.Now()}, Deadline: time.Now().Add(time.Minute),
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop(t, everywhere{})
		defer func() { _ = l.Stop(t.Context()) }()
		l.Tell(lease.Leaving{Name: "e1"})
		// The lagging list and an old report do not take it back.
		l.Tell(lease.Targets{List: []types.Target{
			{Name: "e1", Kind: types.Engine, Zone: "a", Models: []string{"m"}}, {Name: "e2", Kind: types.Engine, Zone: "a", Models: []string{"m"}},
		}})
		for range 4 {
			got, err := l.Acquire(t.Context(), ask("p"))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("e2", got.Target.Name); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		}
	})
}

func TestRefusalsAreEarlyAndTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop(t, everywhere{not: "a"})
		defer func() { _ = l.Stop(t.Context()) }()
		if _, err := l.Acquire(t.Context(), ask("p")); !fault.Is(err, fault.NoAllowedPlace) {
			t.Errorf("no allowed place: %v", err)
		}
		wide := newLoop(t, everywhere{})
		defer func() { _ = wide.Stop(t.Context()) }()
		model := ask("p")
		model.Input.Model = "other"
		if _, err := wide.Acquire(t.Context(), model); !fault.Is(err, fault.NoTarget) {
			t.Errorf("no replica of the model: %v", err)
		}
		// Fill both targets and the queue; then a new program and one with little time left
		// are refused at once, with advice, and one under way waits.
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for range 60 {
			go func() { _, _ = wide.Acquire(ctx, ask("old")) }()
		}
		synctest.Wait()
		fresh := ask("new")
		fresh.NewProgram = true
		began := time.Now()
		_, err := wide.Acquire(t.Context(), fresh)
		if !fault.Is(err, fault.Overloaded) || fault.From(err).RetryAfter <= 0 || !fault.From(err).NotRun {
			t.Errorf("new program under overload: %v", err)
		}
		short := ask("short")
		short.Deadline = time.Now().Add(100 * time.Millisecond)
		if _, err := wide.Acquire(t.Context(), short); !fault.Is(err, fault.DeadlineTooNear) {
			t.Errorf("deadline that cannot be met: %v", err)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("refusals took %v", took)
		}
	})
}

func TestFailingTargetIsEjectedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop(t, everywhere{})
		defer func() { _ = l.Stop(t.Context()) }()
		for i := range 24 {
			program := strconv.Itoa(i)
			got, err := l.Acquire(t.Context(), ask(program))
			if err != nil {
				t.Fatal(err)
			}
			got.Finish(lease.Result{OK: got.Target.Name == "e2", Program: program, Usage: types.Usage{PromptTokens: 1, CompletionTokens: 1}})
		}
		ejected := func() (names []string) {
			for _, st := range l.Status() {
				if st.Ejected {
					names = append(names, st.Name)
				}
			}
			return names
		}
		if diff := cmp.Diff([]string{"e1"}, ejected()); diff != "" {
			t.Errorf("ejected (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff([]string(nil), ejected()); diff != "" {
			t.Errorf("ejected a minute later (-want +got):\n%s", diff)
		}
	})
}

func TestStarvedCallsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop(t, everywhere{})
		defer func() { _ = l.Stop(t.Context()) }()
		var busy []*lease.Lease
		for range 8 {
			got, err := l.Acquire(t.Context(), ask("busy"))
			if err != nil {
				t.Fatal(err)
			}
			busy = append(busy, got)
		}
		order := make(chan string, 2)
		enter := func(name string, priority int64) {
			a := ask(name)
			a.Progress.Priority = priority
			go func() {
				if _, err := l.Acquire(t.Context(), a); err == nil {
					order <- name
				}
			}()
			synctest.Wait()
		}
		enter("low", 0)
		time.Sleep(3 * time.Second)
		enter("high", 5)
		busy[0].Finish(lease.Result{OK: true, Program: "busy"})
		synctest.Wait()
		if diff := cmp.Diff("low", <-order); diff != "" {
			t.Errorf("first (-want +got):\n%s", diff)
		}
		busy[1].Finish(lease.Result{OK: true, Program: "busy"})
		<-order
	})
}

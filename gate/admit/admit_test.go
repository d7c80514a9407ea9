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

// allowExceptZone is a policy that allows everything outside of one zone.
type allowExceptZone struct{ zone string }

func (p allowExceptZone) Allowed(in types.RuleInput) bool { return in.Zone != p.zone }
func (p allowExceptZone) Share(string) int                { return 1 }

func newTestScheduler(t *testing.T, policy PlacementPolicy) *Scheduler {
	t.Helper()
	opts := Options{Strategy: sched.Scored, Order: sched.OldestProgram, MaxWait: time.Second, StarvationAge: 2 * time.Second, Seed: 1}
	s := New("a", opts, policy, meter.New(), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var list []types.Target
	for _, name := range []string{"e1", "e2"} {
		list = append(list, types.Target{Name: name, Kind: types.Engine, Zone: "a", Models: []string{"m"}})
	}
	s.Notify(lease.Targets{List: list})
	for _, name := range []string{"e1", "e2"} {
		s.Notify(lease.Report{Load: types.LoadReport{
			Name: name, At: time.Now(), MaxBatch: 2, PrefillRate: 1000, StepTime: types.Duration(time.Millisecond), Models: []string{"m"},
		}})
	}
	return s
}

func testRequest(program string) lease.Request {
	return lease.Request{
		Input: types.RuleInput{Model: "m", Workspace: "one"}, Program: program, PromptTokens: 10, ExpectedTokens: 10,
		Progress: sched.ProgramProgress{Started: time.Now(), Arrived: time.Now()}, Deadline: time.Now().Add(time.Minute),
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, allowExceptZone{})
		defer func() { _ = s.Stop(t.Context()) }()
		s.Notify(lease.EngineLeaving{Name: "e1"})
		// An outdated list does not revert the engine's state.
		s.Notify(lease.Targets{List: []types.Target{
			{Name: "e1", Kind: types.Engine, Zone: "a", Models: []string{"m"}}, {Name: "e2", Kind: types.Engine, Zone: "a", Models: []string{"m"}},
		}})
		for range 4 {
			got, err := s.Acquire(t.Context(), testRequest("p"))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("e2", got.Target.Name); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		}
	})
}

func TestUnservableCallsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, allowExceptZone{zone: "a"})
		defer func() { _ = s.Stop(t.Context()) }()
		if _, err := s.Acquire(t.Context(), testRequest("p")); !fault.Is(err, fault.NoAllowedPlace) {
			t.Errorf("zone that the policy forbids: %v, want no_place", err)
		}
		permissive := newTestScheduler(t, allowExceptZone{})
		defer func() { _ = permissive.Stop(t.Context()) }()
		otherModel := testRequest("p")
		otherModel.Input.Model = "other"
		if _, err := permissive.Acquire(t.Context(), otherModel); !fault.Is(err, fault.NoTarget) {
			t.Errorf("model without replicas: %v, want no_target", err)
		}
		// With both targets and the queue full, new programs and calls with a near deadline are
		// refused at once with a retry delay.
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for range 60 {
			go func() { _, _ = permissive.Acquire(ctx, testRequest("old")) }()
		}
		synctest.Wait()
		newProgram := testRequest("new")
		newProgram.NewProgram = true
		started := time.Now()
		_, err := permissive.Acquire(t.Context(), newProgram)
		if !fault.Is(err, fault.Overloaded) || fault.From(err).RetryAfter <= 0 || !fault.From(err).NotRun {
			t.Errorf("new program under overload: %v, want overloaded, not run, with a retry delay", err)
		}
		nearDeadline := testRequest("short")
		nearDeadline.Deadline = time.Now().Add(100 * time.Millisecond)
		if _, err := permissive.Acquire(t.Context(), nearDeadline); !fault.Is(err, fault.DeadlineTooNear) {
			t.Errorf("deadline that cannot be met: %v, want deadline_too_near", err)
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("refusals took %v, want no wait", took)
		}
	})
}

func TestFailingTargetIsEjectedAndReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, allowExceptZone{})
		defer func() { _ = s.Stop(t.Context()) }()
		for i := range 24 {
			program := strconv.Itoa(i)
			got, err := s.Acquire(t.Context(), testRequest(program))
			if err != nil {
				t.Fatal(err)
			}
			got.Finish(lease.Result{OK: got.Target.Name == "e2", Program: program, Usage: types.Usage{PromptTokens: 1, CompletionTokens: 1}})
		}
		ejected := func() (names []string) {
			for _, st := range s.Status() {
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
		s := newTestScheduler(t, allowExceptZone{})
		defer func() { _ = s.Stop(t.Context()) }()
		var busy []*lease.Lease
		for range 8 {
			got, err := s.Acquire(t.Context(), testRequest("busy"))
			if err != nil {
				t.Fatal(err)
			}
			busy = append(busy, got)
		}
		order := make(chan string, 2)
		enqueue := func(name string, priority int64) {
			req := testRequest(name)
			req.Progress.Priority = priority
			go func() {
				if _, err := s.Acquire(t.Context(), req); err == nil {
					order <- name
				}
			}()
			synctest.Wait()
		}
		enqueue("low", 0)
		time.Sleep(3 * time.Second)
		enqueue("high", 5)
		busy[0].Finish(lease.Result{OK: true, Program: "busy"})
		synctest.Wait()
		if diff := cmp.Diff("low", <-order); diff != "" {
			t.Errorf("first (-want +got):\n%s", diff)
		}
		busy[1].Finish(lease.Result{OK: true, Program: "busy"})
		<-order
	})
}

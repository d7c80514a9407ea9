package desk

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/fold"
)

// withPrograms returns an OwnerState with n idle programs.
func withPrograms(tb testing.TB, n int) *OwnerState {
	tb.Helper()
	s := New(fold.New(), "i")
	for i := range n {
		b := types.Begin{
			ID: fmt.Sprint(i), Workspace: "one", Budget: 100, Created: testTime, Deadline: testTime.Add(time.Hour),
			Limits: types.Limits{Turns: 9, Depth: 2, FanOut: 2, Idle: types.Duration(time.Minute)},
		}
		if _, err := s.Begin(testTime, BeginRequest{Begin: b, GrantChunk: 10}); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

func TestProgramsEndWithTheirReason(t *testing.T) {
	s := withPrograms(t, 3)
	child := types.Begin{ID: "c", Parent: "0", Workspace: "one", Created: testTime.Add(50 * time.Second), Deadline: testTime.Add(time.Hour), Limits: types.Limits{Turns: 9}}
	if _, err := s.Begin(testTime.Add(50*time.Second), BeginRequest{Begin: child}); err != nil {
		t.Fatal(err)
	}
	s.Turns["1"] = &TurnRun{Turn: 1}
	steps := []struct {
		after time.Duration
		want  map[string]string
	}{
		{time.Second, map[string]string{"0": "", "1": "", "2": "", "c": ""}},
		// Program 0 has a recently active sub-agent, program 1 has a turn in flight.
		{70 * time.Second, map[string]string{"0": "", "1": "", "2": EndedByIdle, "c": ""}},
		{2 * time.Minute, map[string]string{"0": EndedByIdle, "1": "", "2": EndedByIdle, "c": EndedWithParent}},
		{time.Hour, map[string]string{"0": EndedByIdle, "1": EndedByDeadline, "c": EndedWithParent}},
	}
	for _, step := range steps {
		s.Sweep(testTime.Add(step.after), time.Hour)
		got := map[string]string{}
		for id := range step.want {
			if prog, ok := s.State.Programs[id]; ok {
				got[id] = prog.Ended
			}
		}
		if step.after == time.Hour {
			// Programs that ended long ago are dropped.
			step.want = map[string]string{"1": EndedByDeadline}
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", step.after, diff)
		}
	}
}

// BenchmarkSweep measures a sweep over many idle programs.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := withPrograms(b, n)
			for b.Loop() {
				s.Sweep(testTime.Add(time.Second), time.Hour)
			}
		})
	}
}

package drain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
)

// TestSlowRequestIsRefusedInStop checks that reading a request ends once its call could not end before the cut, also if
// the request began before the stop, and otherwise only at the call's deadline.
func TestSlowRequestIsRefusedInStop(t *testing.T) {
	for name, c := range map[string]struct{ deadline, want time.Duration }{
		"may outlast the stop":   {time.Minute, time.Second + 2600*time.Millisecond},
		"ends within the stop":   {5 * time.Second, 5 * time.Second},
		"deadline before signal": {500 * time.Millisecond, time.Second},
		"no known deadline":      {0, time.Second + 2600*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, start := New(NewSchedule(8*time.Second)), time.Now()
				deadline := start.Add(c.deadline)
				if c.deadline == 0 {
					deadline = time.Time{}
				}
				ctx, stop := s.WhileReading(t.Context(), deadline)
				defer stop()
				time.Sleep(time.Second)
				if ctx.Err() != nil {
					t.Fatal("the read ended before the signal")
				}
				s.Begin()
				<-ctx.Done()
				if took := time.Since(start); took != c.want || !fault.From(context.Cause(ctx)).NotRun {
					t.Errorf("read ended after %v, want %v: %v", took, c.want, context.Cause(ctx))
				}
				if s.Check(deadline) == nil {
					t.Error("a call is taken whose request is not read any more")
				}
				if late, _ := s.WhileReading(t.Context(), deadline); late.Err() == nil {
					t.Error("a request is read that is refused at its head")
				}
			})
		})
	}
}

// TestSecondSignalDoesNotExtendStop checks that the schedule counts from the first signal.
func TestSecondSignalDoesNotExtendStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(NewSchedule(8 * time.Second))
		s.Begin()
		time.Sleep(5 * time.Second)
		s.Begin()
		if s.Check(time.Now().Add(time.Minute)) == nil {
			t.Error("a call is taken that would have been refused after the first signal")
		}
		time.Sleep(2 * time.Second)
		if !s.IsCut() {
			t.Error("the calls in progress are not ended")
		}
	})
}

// TestCutCallIsAnswered checks that a call that is ended by the stop gets a fault that is answered, and that the call of
// a caller that has left does not.
func TestCutCallIsAnswered(t *testing.T) {
	gone := func(ctx context.Context) error {
		<-ctx.Done()
		return fault.Fail(fault.CallerGone, "")
	}
	synctest.Test(t, func(t *testing.T) {
		s := New(NewSchedule(8 * time.Second))
		s.Begin()
		start := time.Now()
		err := s.Run(t.Context(), gone)
		if took := time.Since(start); took != 6680*time.Millisecond || !fault.Is(err, fault.TimedOut) || fault.From(err).NotRun {
			t.Errorf("after %v: %v", took, err)
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if err := New(NewSchedule(8*time.Second)).Run(ctx, gone); !fault.Is(err, fault.CallerGone) {
			t.Error(err)
		}
	})
}

package node

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/drain"
	"mulleingate.dev/gate/kernel"
)

// stopTimes maps the names of services to the times that they had to stop.
type stopTimes map[string]time.Duration

// fakeService is a service that records how long it had to stop. If uses is set, it takes all of that.
type fakeService struct {
	name string
	uses bool
	got  stopTimes
}

func (s *fakeService) Start(context.Context) error { return nil }
func (s *fakeService) Stop(ctx context.Context) error {
	end, _ := ctx.Deadline()
	s.got[s.name] = time.Until(end)
	if s.uses {
		<-ctx.Done()
	}
	return ctx.Err()
}

// stopBox stops a box in which the named services use all their time.
func stopBox(t *testing.T, using ...string) stopTimes {
	t.Helper()
	uses := map[string]bool{}
	for _, name := range using {
		uses[name] = true
	}
	got := stopTimes{}
	schedule := drain.NewSchedule(8 * time.Second)
	specs := (&Node{schedule: schedule}).serviceSpecs(nil)
	for i, spec := range specs {
		svc := &fakeService{name: spec.Name, uses: uses[spec.Name], got: got}
		specs[i].Make = func(*kernel.Kernel) (kernel.Service, error) { return svc, nil }
	}
	kern := kernel.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := kern.Start(context.Background(), specs); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), schedule.End-schedule.Accept)
	defer stop()
	_ = kern.Stop(ctx) // fails if a service used up its time
	return got
}

// TestStopReservesTimeBehindFront checks that callers' calls which outlast the stop leave the reserved time to
// the services stopped later, and that these also get the time left unused.
func TestStopReservesTimeBehindFront(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name                 string
			using                []string
			front, shards, peers time.Duration
		}{
			{"no service hangs", nil, 4320 * time.Millisecond, 4440 * time.Millisecond, 4600 * time.Millisecond},
			{"calls outlast the stop", []string{"front"}, 4320 * time.Millisecond, 120 * time.Millisecond, 280 * time.Millisecond},
			{"the store hangs too", []string{"front", "shards"}, 4320 * time.Millisecond, 120 * time.Millisecond, 160 * time.Millisecond},
		} {
			got := stopBox(t, c.using...)
			if got["front"] != c.front || got["shards"] != c.shards || got["peers"] != c.peers {
				t.Errorf("%s: %v", c.name, got)
			}
		}
		if whole := drain.NewSchedule(8 * time.Second).End; whole > 7200*time.Millisecond {
			t.Errorf("a stop may take %v, want at most 7.2s", whole)
		}
	})
}

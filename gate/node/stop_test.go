package node

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/gate/kernel"
)

// stops are the times that services were given for their stops, by name.
type stops map[string]time.Duration

// slow is a service that uses all the time that it is given, if it is to.
type slow struct {
	name string
	uses bool
	got  stops
}

func (s *slow) Start(context.Context) error { return nil }
func (s *slow) Stop(ctx context.Context) error {
	end, _ := ctx.Deadline()
	s.got[s.name] = time.Until(end)
	if s.uses {
		<-ctx.Done()
	}
	return ctx.Err()
}

// stopOf stops a box whose named services use all their time.
func stopOf(t *testing.T, using ...string) stops {
	t.Helper()
	uses := map[string]bool{}
	for _, name := range using {
		uses[name] = true
	}
	got := stops{}
	parts := (&Node{}).parts(nil)
	for i, part := range parts {
		svc := &slow{name: part.Name, uses: uses[part.Name], got: got}
		parts[i].Make = func(*kernel.Kernel) (kernel.Service, error) { return svc, nil }
	}
	kern := kernel.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := kern.Start(context.Background(), parts); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), finishFor)
	defer stop()
	_ = kern.Stop(ctx) // services that use their time up say so
	return got
}

// TestStopLeavesTimeBehindTheFront checks that calls which outlast the stop don't take the time
// of the turns that run for other boxes, and that what they leave is used.
func TestStopLeavesTimeBehindTheFront(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name                 string
			using                []string
			front, shards, peers time.Duration
		}{
			{"all is done", nil, 4200 * time.Millisecond, 4400 * time.Millisecond, 4600 * time.Millisecond},
			{"calls last", []string{"front"}, 4200 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
			{"the store hangs too", []string{"front", "shards"}, 4200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
		} {
			got := stopOf(t, c.using...)
			if got["front"] != c.front || got["shards"] != c.shards || got["peers"] != c.peers {
				t.Errorf("%s: %v", c.name, got)
			}
		}
		if whole := leaveFor + finishFor; whole > 7200*time.Millisecond {
			t.Errorf("a stop may take %v", whole)
		}
	})
}

package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/work"
)

// drainAfter is a Drain that refuses calls after the given number of checks, as when a call waits meanwhile.
type drainAfter struct{ checks int }

func (d *drainAfter) Check(time.Time) error {
	d.checks--
	if d.checks < 0 {
		return fault.Refuse(fault.Stopping, "")
	}
	return nil
}
func (*drainAfter) IsCut() bool { return false }

// TestCallThatWaitsInStopIsRefused checks that a call is checked when it arrives and after each wait: for the quota, for
// its owner and for the slot. A call that was only checked once ran too late to end before its box.
func TestCallThatWaitsInStopIsRefused(t *testing.T) {
	tool := func() *work.Call {
		call := turnCall("")
		call.Turn = nil
		return call
	}
	for _, c := range []struct {
		name   string
		call   *work.Call
		holds  bool
		checks int
		want   []string
	}{
		{"arrives", tool(), false, 0, nil},
		{"waits for the quota", tool(), false, 1, nil},
		{"forwarded after a search", turnCall(""), false, 2, nil},
		{"waits for the slot", turnCall(""), true, 2, []string{"here"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeBox()
			f.holds = c.holds
			e := New(work.Box{Name: "a", Zone: "a"}, shard.NewLayout(2), work.Regions{"a": "north"}, f, access.New(access.Bounds{Apply: time.Second}), f, f, f, f, f, f, f, noCrashes{}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
			e.SetDrain(&drainAfter{checks: c.checks})
			err := e.Handle(context.Background(), c.call, time.Minute, nil)
			if !fault.Is(err, fault.Stopping) || !fault.From(err).NotRun || fault.From(err).RetryAfter != 0 {
				t.Errorf("fault: %v", err)
			}
			if diff := cmp.Diff(c.want, f.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

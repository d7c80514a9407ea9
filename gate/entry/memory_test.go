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

// urgentOnly refuses calls that are less urgent than the priority.
type urgentOnly int

func (u urgentOnly) Admit(_ work.CallerGroup, priority int) error {
	if priority > int(u) {
		return fault.Refuse(fault.Overloaded, "too many answers are unread").WithRetryAfter(time.Second)
	}
	return nil
}

// TestCallsPassMemoryCheck checks that a call is refused by its priority before it is counted against a quota or
// sent anywhere, and that the next turn of a program, which is more urgent than its first, still runs.
func TestCallsPassMemoryCheck(t *testing.T) {
	f := newFakeBox()
	e := New(work.Box{Name: "a", Zone: "a"}, shard.NewLayout(2), work.Regions{"a": "north"}, f, access.New(access.Bounds{Apply: time.Second}), f, f, f, f, f, f, f, noCrashes{}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
	e.SetMemoryCheck(urgentOnly(routeWeight))
	err := e.Handle(context.Background(), turnCall(""), time.Minute, nil)
	if !fault.Is(err, fault.Overloaded) || !fault.From(err).NotRun || fault.From(err).RetryAfter != time.Second {
		t.Errorf("first turn: %v", err)
	}
	if len(f.calls) > 0 || len(f.quotaCalls) > 0 {
		t.Errorf("a refused call went to %v and was counted %v", f.calls, f.quotaCalls)
	}
	if err := e.Handle(context.Background(), turnCall("before"), time.Minute, nil); err != nil {
		t.Errorf("next turn: %v", err)
	}
	if diff := cmp.Diff([]string{"to b"}, f.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

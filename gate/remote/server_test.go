package remote

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/serve"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/work"
)

// panickingTurns panics on every turn.
type panickingTurns struct{ Turns }

func (panickingTurns) RunHere(context.Context, int, []work.Box, *work.Call, *work.Route, work.Answer) error {
	panic("broken")
}

// panicCounts counts the recovered panics.
type panicCounts struct{ panics atomic.Int64 }

func (c *panicCounts) Count(name string, n int64) {
	if name == serve.PanicsMetric {
		c.panics.Add(n)
	}
}

// discardedAnswer is an answer that nobody reads.
type discardedAnswer struct{}

func (discardedAnswer) Begin(work.Head) error { return nil }
func (discardedAnswer) Write([]byte) error    { return nil }

// TestPanicIsNotPeerUnreachable checks that a forwarded turn whose handler panics is answered with a fault and
// counted as a panic. Without a response, the forwarding box took the owner for unreachable.
func TestPanicIsNotPeerUnreachable(t *testing.T) {
	var counts panicCounts
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	owner := NewServer(work.Box{}, panickingTurns{}, nil, nil, nil, nil, nil, memory.NewBudgets(0).Bodies, &counts, quiet)
	srv := httptest.NewServer(owner.http.Handler)
	defer srv.Close()
	client := NewClient(func(work.Box) bool { return true }, func(int, work.Box) []work.Box { return nil })
	defer client.CloseAllExcept(nil)
	box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	call := &work.Call{ID: "i", Method: http.MethodPost, Turn: &work.Turn{Program: "p"}, Deadline: time.Now().Add(5 * time.Second), Arrived: time.Now()}
	err := client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, discardedAnswer{})
	if err == nil {
		t.Fatal("the turn was answered")
	}
	if diff := cmp.Diff(fault.Internal, fault.From(err).Kind); diff != "" {
		t.Errorf("kind of fault (-want +got):\n%s", diff)
	}
	if fault.From(err).NotRun {
		t.Error("the fault says that the turn has not run")
	}
	if diff := cmp.Diff(int64(1), counts.panics.Load()); diff != "" {
		t.Errorf("panics (-want +got):\n%s", diff)
	}
}

// unreadTurns answers each turn with more than the connection takes and reports when a write has failed.
type unreadTurns struct {
	Turns
	ended chan error
}

func (u unreadTurns) RunHere(_ context.Context, _ int, _ []work.Box, _ *work.Call, _ *work.Route, out work.Answer) error {
	err := out.Begin(work.Head{Status: http.StatusOK})
	for err == nil {
		err = out.Write(make([]byte, 64<<10))
	}
	u.ended <- err
	return err
}

// blockingAnswer is an answer whose caller does not take the first write until it is released.
type blockingAnswer struct {
	discardedAnswer
	release chan struct{}
}

func (b blockingAnswer) Write([]byte) error {
	<-b.release
	return fault.Fail(fault.CallerGone, "")
}

// TestUnreadResponseEndsAtDeadline checks that the owner of a slot does not write a turn's response for longer than
// until the turn's deadline, if the forwarding box does not read it. The write, and with it the turn and the
// replica's place, lasted for as long as the connection was open.
func TestUnreadResponseEndsAtDeadline(t *testing.T) {
	turns := unreadTurns{ended: make(chan error, 1)}
	owner := NewServer(work.Box{}, turns, nil, nil, nil, nil, nil, memory.NewBudgets(0).Bodies, &panicCounts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	srv := httptest.NewServer(owner.http.Handler)
	defer srv.Close()
	client := NewClient(func(work.Box) bool { return true }, func(int, work.Box) []work.Box { return nil })
	defer client.CloseAllExcept(nil)
	box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	const left, margin = 300 * time.Millisecond, 1500 * time.Millisecond
	start := time.Now()
	call := &work.Call{ID: "i", Method: http.MethodPost, Turn: &work.Turn{Program: "p"}, Deadline: start.Add(left), Arrived: start}
	caller := blockingAnswer{release: make(chan struct{})}
	forwarded := make(chan error, 1)
	go func() { forwarded <- client.Turn(context.Background(), box, 0, nil, call, &work.Route{}, caller) }()
	select {
	case err := <-turns.ended:
		if took := time.Since(start); !fault.Is(err, fault.CallerGone) || took < left {
			t.Errorf("ended after %v: %v", took, err)
		}
	case <-time.After(left + writeGrace + margin):
		t.Errorf("the owner still writes %v after the deadline", writeGrace+margin)
	}
	close(caller.release)
	if err := <-forwarded; !fault.Is(err, fault.CallerGone) {
		t.Errorf("forwarding box: %v", err)
	}
}

// failingTurns begins an answer to each turn and fails it before the first byte of its body.
type failingTurns struct{ Turns }

func (failingTurns) RunHere(_ context.Context, _ int, _ []work.Box, _ *work.Call, _ *work.Route, out work.Answer) error {
	if err := out.Begin(work.Head{Status: http.StatusOK, Length: -1}); err != nil {
		return err
	}
	return fault.Fail(fault.LogUnavailable, "the log did not confirm the answer")
}

// TestTurnThatFailsBeforeItsFirstByteIsAnswered guards against a turn whose owner closes the connection without a response
// although nothing of the answer was sent, so that the forwarding box takes the owner for unreachable.
func TestTurnThatFailsBeforeItsFirstByteIsAnswered(t *testing.T) {
	owner := NewServer(work.Box{}, failingTurns{}, nil, nil, nil, nil, nil, memory.NewBudgets(0).Bodies, &panicCounts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	srv := httptest.NewServer(owner.http.Handler)
	defer srv.Close()
	client := newNearClient()
	defer client.CloseAllExcept(nil)
	got := turnTo(t, client, work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())})
	if diff := cmp.Diff([]any{fault.LogUnavailable, false}, []any{got.Kind, got.NotRun}); diff != "" {
		t.Errorf("kind of fault, not run (-want +got):\n%s", diff)
	}
}

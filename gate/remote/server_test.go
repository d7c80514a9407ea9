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
	owner := NewServer(work.Box{}, panickingTurns{}, nil, nil, nil, nil, nil, &counts, quiet)
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

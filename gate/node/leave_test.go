package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"mulleingate.dev/gate/remote"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// hangingLog is a fake log that lists the members but never completes a leave.
type hangingLog struct{ members []string }

func (l *hangingLog) Join(context.Context, string, int64, time.Duration) (int64, error) {
	return 1, nil
}
func (l *hangingLog) Leave(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}
func (l *hangingLog) Members(context.Context, int64) ([]string, error) { return l.members, nil }

// startFakeBox starts a fake box that calls onLeave when a leave is announced to it, and returns its address.
func startFakeBox(t *testing.T, onLeave func()) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/left" {
			onLeave()
		}
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// awaitBoxes waits until the live boxes of the view are the given ones.
func awaitBoxes(t *testing.T, v *view.View, boxes []work.Box) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if slices.Equal(v.Live(), boxes) {
			return
		}
	}
	t.Fatalf("live boxes: %v", v.Live())
}

// TestLeaveIsAnnouncedWhileLogHangs checks that a leave is announced to the other boxes even if the store
// hangs, and not to the leaving box itself.
func TestLeaveIsAnnouncedWhileLogHangs(t *testing.T) {
	var other, self atomic.Int64
	var start atomic.Pointer[time.Time] // the race detector sees no order between a request and its handler
	boxes := []work.Box{
		{Name: "a", Peer: startFakeBox(t, func() { self.Store(1) }), Incarnation: "1"},
		{Name: "b", Peer: startFakeBox(t, func() { other.Store(int64(time.Since(*start.Load()))) }), Incarnation: "1"},
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := &hangingLog{members: []string{boxes[0].Member(), boxes[1].Member()}}
	n := &Node{
		deps: Deps{Self: boxes[0], Logger: quiet}, peers: remote.NewClient(func(work.Box) bool { return true }, func(int, work.Box) []work.Box { return nil }), view: view.New(boxes[0], store, view.DefaultTiming(), quiet),
	}
	if err := n.view.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.view.Stop(context.Background()) }() // never fails
	awaitBoxes(t, n.view, boxes)
	now := time.Now()
	start.Store(&now)
	n.leave(context.Background())
	switch after := time.Duration(other.Load()); {
	case after == 0:
		t.Error("the leave was not announced to the other box")
	case after > requestTimeout:
		t.Errorf("the leave was announced to the other box after %v", after)
	}
	if self.Load() != 0 {
		t.Error("the leave was announced to the leaving box")
	}
	if len(n.view.Live()) != 1 {
		t.Errorf("the leaving box is still live in its own view: %v", n.view.Live())
	}
}

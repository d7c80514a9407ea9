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

// silentStore is a store that names its members and does not answer a box that leaves.
type silentStore struct{ members []string }

func (s *silentStore) Join(context.Context, string, int64, time.Duration) (int64, error) {
	return 1, nil
}
func (s *silentStore) Leave(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}
func (s *silentStore) Members(context.Context, int64) ([]string, error) { return s.members, nil }

// toldBox is another box, which notes when it is told that a box leaves.
func toldBox(t *testing.T, told func()) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/left" {
			told()
		}
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// awaitBoxes waits until the view knows all boxes of the fleet.
func awaitBoxes(t *testing.T, v *view.View, boxes []work.Box) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if slices.Equal(v.Live(), boxes) {
			return
		}
	}
	t.Fatalf("the view holds %v", v.Live())
}

// TestOthersAreToldWhileTheStoreIsSilent checks that the other boxes hear at once that a box
// leaves, whatever the store does, and that the box does not tell itself.
func TestOthersAreToldWhileTheStoreIsSilent(t *testing.T) {
	var other, self atomic.Int64
	start := time.Now()
	boxes := []work.Box{
		{Name: "a", Peer: toldBox(t, func() { self.Store(1) }), Incarnation: "1"},
		{Name: "b", Peer: toldBox(t, func() { other.Store(int64(time.Since(start))) }), Incarnation: "1"},
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := &silentStore{members: []string{boxes[0].Member(), boxes[1].Member()}}
	n := &Node{
		deps: Deps{Self: boxes[0], Logger: quiet}, peers: remote.NewClient(), view: view.New(boxes[0], store, view.DefaultTiming(), quiet),
	}
	if err := n.view.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.view.Stop(context.Background()) }() // it never fails
	awaitBoxes(t, n.view, boxes)
	start = time.Now()
	n.leave(context.Background())
	switch after := time.Duration(other.Load()); {
	case after == 0:
		t.Error("the other box was not told")
	case after > reachWait:
		t.Errorf("the other box was told after %v", after)
	}
	if self.Load() != 0 {
		t.Error("the box told itself")
	}
	if len(n.view.Live()) != 1 {
		t.Errorf("the box still counts itself: %v", n.view.Live())
	}
}

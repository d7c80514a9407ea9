package serve

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// TestConnectionsBeyondTheLimit checks that connections beyond the limit are closed at once, that those within it are
// served, and that a connection that has ended makes room. Without the limit, they take all descriptors.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	const limit, beyond = 3, 5
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") } // the caller checks
	wrapped := WithTimeouts(WithMaxConns(ln, limit, func() { refused.Add(1) }), func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} }, nil)
	running := Run(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(handler)}, wrapped, slog.New(slog.NewTextHandler(io.Discard, nil)), func(error) {})
	t.Cleanup(func() { _ = running.Stop(context.Background()) }) // the test is over
	var conns []net.Conn
	for range limit {
		conns = append(conns, dial(t, ln.Addr().String()))
		expectAnswer(t, conns[len(conns)-1])
	}
	for range beyond {
		expectClosed(t, dial(t, ln.Addr().String()), 5*time.Second)
	}
	if refused.Load() != beyond {
		t.Errorf("%d connections refused, want %d", refused.Load(), beyond)
	}
	_ = conns[0].Close() // makes room
	time.Sleep(100 * time.Millisecond)
	expectAnswer(t, dial(t, ln.Addr().String()))
	expectAnswer(t, conns[1])
}

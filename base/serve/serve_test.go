package serve

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// TestLife checks that a server is told apart that was stopped from one that ended by itself,
// and that an address which is taken is named.
func TestLife(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	ended := make(chan error, 2)
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(netip.MustParseAddrPort(ln.Addr().String())); !fault.Is(err, fault.BadSettings) {
		t.Errorf("an address that is taken: %v", err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second}
	running := Run(srv, ln, quiet, func(cause error) { ended <- cause })
	if resp, err := http.Get("http://" + ln.Addr().String()); err != nil || resp.Body.Close() != nil {
		t.Errorf("not served: %v", err)
	}
	if err := running.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	lost, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	Run(&http.Server{ReadHeaderTimeout: time.Second}, lost, quiet, func(cause error) { ended <- cause })
	_ = lost.Close() // what is tested
	if cause := <-ended; cause == nil || len(ended) != 0 {
		t.Errorf("told of %v and %d more", cause, len(ended))
	}
}

// dialed opens a connection, and sends nothing.
func dialed(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have ended it
	return conn
}

// expectAnswer sends a request on a connection and checks that it is answered whole.
func expectAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Error(err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "whole" {
		t.Errorf("answer %q, %v", got, err)
	}
}

// TestStopWithUnusedConnections checks that connections which were opened and never used don't
// hold a stop up, that one opened a moment before it can still be used, and that a request
// under way is answered whole.
func TestStopWithUnusedConnections(t *testing.T) {
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	const under = 900 * time.Millisecond // longer than an unused connection is kept
	handler := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(under)
		_, _ = io.WriteString(w, "whole") // the caller checks
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(handler)}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	running := Run(srv, ln, quiet, func(cause error) { t.Errorf("ended: %v", cause) })
	old := dialed(t, ln.Addr().String())
	time.Sleep(unusedFor + 100*time.Millisecond)
	late, unused := dialed(t, ln.Addr().String()), dialed(t, ln.Addr().String())
	time.Sleep(50 * time.Millisecond) // all are accepted
	start := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- running.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	expectAnswer(t, late)
	expectEnd(t, old, unusedFor)
	expectEnd(t, unused, unusedFor)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}

// expectEnd checks that the server ends a connection in time.
func expectEnd(t *testing.T, conn net.Conn, within time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("not ended within %v: %v", within, err)
	}
}

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

// TestRunAndStop checks that ended is called if the listener fails but not after Stop, and that
// Listen on an address in use returns a BadSettings fault.
func TestRunAndStop(t *testing.T) {
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	ended := make(chan error, 2)
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(netip.MustParseAddrPort(ln.Addr().String())); !fault.Is(err, fault.BadSettings) {
		t.Errorf("Listen on an address in use: got error %v, want BadSettings", err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second}
	running := Run(srv, ln, discard, func(cause error) { ended <- cause })
	if resp, err := http.Get("http://" + ln.Addr().String()); err != nil || resp.Body.Close() != nil {
		t.Errorf("GET failed: %v", err)
	}
	if err := running.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	failing, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	Run(&http.Server{ReadHeaderTimeout: time.Second}, failing, discard, func(cause error) { ended <- cause })
	_ = failing.Close() // makes Serve return
	if cause := <-ended; cause == nil || len(ended) != 0 {
		t.Errorf("ended was called with %v and %d more times, want one error", cause, len(ended))
	}
}

// dial opens a connection without sending anything.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	return conn
}

// expectAnswer sends a request on a connection and checks that the response is complete.
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
		t.Errorf("got response body %q and error %v, want \"whole\"", got, err)
	}
}

// TestStopWithUnusedConnections checks that unused connections don't delay Stop, that one opened
// just before it can still send a request, and that a request in flight gets a complete response.
func TestStopWithUnusedConnections(t *testing.T) {
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	const handlerDelay = 900 * time.Millisecond // longer than an unused connection is kept
	handler := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(handlerDelay)
		_, _ = io.WriteString(w, "whole") // the caller checks
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(handler)}
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	running := Run(srv, ln, discard, func(cause error) { t.Errorf("server ended before Stop: %v", cause) })
	old := dial(t, ln.Addr().String())
	time.Sleep(firstRequestTimeout + 100*time.Millisecond)
	recent, unused := dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	time.Sleep(50 * time.Millisecond) // lets the server accept them
	start := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- running.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	expectAnswer(t, recent)
	expectClosed(t, old, firstRequestTimeout)
	expectClosed(t, unused, firstRequestTimeout)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("Stop took %v, want at most 2.5s", took)
	}
}

// expectClosed checks that the server closes a connection in time.
func expectClosed(t *testing.T, conn net.Conn, within time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection not closed within %v: read returned %v", within, err)
	}
}

// TestStopSeesRequestEndBeforeDeadline checks that a stop succeeds if the last request ends shortly before its deadline.
// It failed, and closed connections, since the pauses between its checks had grown to half a second.
func TestStopSeesRequestEndBeforeDeadline(t *testing.T) {
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	begun := make(chan struct{})
	handler := func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(1250 * time.Millisecond)
		_, _ = io.WriteString(w, "whole") // the caller checks
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(handler)}
	running := Run(srv, ln, slog.New(slog.NewTextHandler(io.Discard, nil)), func(cause error) { t.Errorf("server ended before Stop: %v", cause) })
	conn := dial(t, ln.Addr().String())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		expectAnswer(t, conn)
	}()
	<-begun
	ctx, stop := context.WithTimeout(context.Background(), 1450*time.Millisecond)
	defer stop()
	if err := running.Stop(ctx); err != nil {
		t.Error(err)
	}
	<-answered
}

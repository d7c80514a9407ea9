package serve

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startProbes serves responses of size bytes. It returns the address and the number of open connections.
func startProbes(t *testing.T, size int) (string, *atomic.Int64) {
	t.Helper()
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	body := append([]byte("whole"), bytes.Repeat([]byte("x"), size)...)
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) } // the caller checks
	running := RunProbes(http.HandlerFunc(handler), ln, slog.New(slog.NewTextHandler(io.Discard, nil)), noCounts{}, func(error) {})
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = running.Stop(ctx) // connections of the test may be open
	})
	return ln.Addr().String(), &running.ln.(*limitedListener).open
}

// TestProbeConnectionsAreBounded checks, for callers of probes and metrics that send or read without end, fast or slowly,
// that their connections end. A response that was not read kept its connection for as long as the caller wanted.
func TestProbeConnectionsAreBounded(t *testing.T) {
	const request, large = "GET / HTTP/1.1\r\nHost: a\r\n", 32 << 20
	for name, c := range map[string]struct {
		first, text string
		pause       time.Duration
		within      time.Duration
	}{
		"silent":              {within: probeReadTimeout},
		"head, slow":          {first: request, text: "A: b\r\n", pause: 50 * time.Millisecond, within: probeReadTimeout},
		"headers without end": {first: request, text: strings.Repeat("A: b\r\n", 100), within: probeReadTimeout},
		"body, slow":          {first: request + "Content-Length: 100000\r\n\r\n", text: "x", pause: 50 * time.Millisecond, within: probeReadTimeout + probeWriteTimeout},
		"reads nothing":       {first: request + "\r\n", within: probeWriteTimeout},
		"pipelines, reads nothing": {
			text: request + "\r\n", within: probeWriteTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, open := startProbes(t, large)
			conn := dial(t, addr)
			start := time.Now()
			_, _ = io.WriteString(conn, c.first) // the server may have closed the connection
			go repeat(conn, c.text, c.pause)
			for open.Load() == 0 && time.Since(start) < time.Second {
				time.Sleep(time.Millisecond)
			}
			for ; open.Load() > 0; time.Sleep(10 * time.Millisecond) {
				if time.Since(start) > c.within+3*time.Second {
					t.Fatalf("connection still open after %v, want at most %v", time.Since(start), c.within)
				}
			}
		})
	}
}

// repeat sends text until the connection ends. It reads nothing.
func repeat(conn net.Conn, text string, pause time.Duration) {
	for text != "" {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestProbesAreServedBesideMany checks that connections beyond the limit are closed, that the others don't keep a probe
// from being answered for longer than they may be idle, and that an ended one makes room at once.
func TestProbesAreServedBesideMany(t *testing.T) {
	addr, _ := startProbes(t, 0)
	var held []net.Conn
	for range maxProbeConns {
		held = append(held, dial(t, addr))
	}
	time.Sleep(50 * time.Millisecond) // lets the server accept them
	expectClosed(t, dial(t, addr), time.Second)
	_ = held[0].Close() // makes room
	time.Sleep(50 * time.Millisecond)
	resp, err := http.Get("http://" + addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // only the status matters
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

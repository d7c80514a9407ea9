package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// panicCounts counts the recovered panics.
type panicCounts struct{ panics atomic.Int64 }

func (c *panicCounts) Count(name string, n int64) {
	if name == PanicsMetric {
		c.panics.Add(n)
	}
}

// lineBuffer is a buffer of log lines that is safe for concurrent use.
type lineBuffer struct {
	mu  sync.Mutex
	raw bytes.Buffer
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.raw.Write(line)
}

// panicLine is a log line on a recovered panic.
type panicLine struct{ Level, Msg, Cause, Stack string }

// lines returns the logged lines of at least the info level.
func (b *lineBuffer) lines(t *testing.T) []panicLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []panicLine
	for line := range strings.Lines(b.raw.String()) {
		var got panicLine
		if err := json.Unmarshal([]byte(line), &got); err != nil {
			t.Fatal(err)
		}
		out = append(out, got)
	}
	return out
}

// panickingListener accepts connections whose first read panics.
type panickingListener struct{ net.Listener }

func (l panickingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return panickingConn{conn}, err
}

type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panicForTest(); return 0, nil }

// panicForTest is the function that the logged stacks must name.
func panicForTest() { panic("broken") }

// servePanics serves one request and returns the lines that were logged and the number of panics that were
// counted.
func servePanics(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener) ([]panicLine, int64) {
	t.Helper()
	var out lineBuffer
	var counts panicCounts
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: handler}
	running := RunCounting(srv, wrap(ln), slog.New(slog.NewJSONHandler(&out, nil)), &counts, func(error) {})
	conn := dial(t, ln.Addr().String())
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") // the connection may be closed already
	_, _ = io.ReadAll(conn)                                                               // returns once the server has closed the connection
	if err := running.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	return out.lines(t), counts.panics.Load()
}

// TestPanicsAreReported checks that a panic which net/http recovers is logged as an error with its stack and
// counted, also if no handler ran, and that a handler that ends a partial answer with http.ErrAbortHandler is not
// reported. A panic was only logged at debug level, so that a fault of the program stayed unnoticed.
func TestPanicsAreReported(t *testing.T) {
	plain := func(ln net.Listener) net.Listener { return ln }
	breaking := func(ln net.Listener) net.Listener { return panickingListener{ln} }
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		wrap    func(net.Listener) net.Listener
		panics  int
	}{
		{"answered", func(http.ResponseWriter, *http.Request) {}, plain, 0},
		{"aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, plain, 0},
		{"handler panics", func(http.ResponseWriter, *http.Request) { panicForTest() }, plain, 1},
		{"panic outside of a handler", nil, breaking, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			lines, counted := servePanics(t, c.handler, c.wrap)
			if diff := cmp.Diff([]int{c.panics, c.panics}, []int{len(lines), int(counted)}); diff != "" {
				t.Fatalf("logged and counted (-want +got):\n%s", diff)
			}
			for _, line := range lines {
				if line.Level != "ERROR" || line.Msg != "serve: panic recovered" || !strings.Contains(line.Cause, "broken") || !strings.Contains(line.Stack, "panicForTest") {
					t.Errorf("line %+v", line)
				}
			}
		})
	}
}

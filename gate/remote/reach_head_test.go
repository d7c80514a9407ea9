package remote

import (
	"net"
	"runtime"
	"strings"
	"testing"

	"mulleingate.dev/gate/work"
)

// TestEndlessHeadOfCheckedBoxIsBounded guards against a box that answers the check of its incarnation with a header without
// end, all of which was kept.
func TestEndlessHeadOfCheckedBoxIsBounded(t *testing.T) {
	box := endlessBox(t, "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 64<<10), 0)
	conn, err := net.Dial("tcp", box.Peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if got := incarnationOf(conn, work.Box{Peer: box.Peer}); got != "" {
		t.Errorf("incarnation %q", got)
	}
	runtime.ReadMemStats(&after)
	const most = 4 << 20
	if grown := after.TotalAlloc - before.TotalAlloc; grown > most {
		t.Errorf("%d bytes were allocated, want at most %d", grown, most)
	}
}

package dial

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"
)

// TestBodyIsNotCopiedForSilentPeer guards against bodies of which each attempt holds a copy while a peer does not read it.
func TestBodyIsNotCopiedForSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // connections wait in its queue, unread
	live := func() int64 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	const calls, bodyBytes = 8, 8 << 20
	body := make([]byte, bodyBytes)
	p := New(netip.MustParseAddrPort(ln.Addr().String()), calls)
	defer p.Close()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	before := live()
	var all sync.WaitGroup
	for range calls {
		all.Go(func() { _, _ = p.Send(ctx, Request{Method: "POST", Target: "/", Host: "a", Body: body}) })
	}
	time.Sleep(time.Second)
	if grown := live() - before; grown > bodyBytes {
		t.Errorf("%d calls with the same body of %d MB hold %d MB more", calls, bodyBytes>>20, grown>>20)
	}
	all.Wait()
	runtime.KeepAlive(body)
}

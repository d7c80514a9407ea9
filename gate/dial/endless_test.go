package dial

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
)

const (
	// smallBox is the memory of the smallest boxes, of which the runtime may use heapPercent, and maxGrowth the part of
	// it that may go to the calls of a test.
	smallBox    = 112 << 20
	heapPercent = 60
	maxGrowth   = smallBox / 4
	// endlessTimeout is the time of each call, and endSlack how much later it may end on a busy machine.
	endlessTimeout = 300 * time.Millisecond
	endSlack       = 600 * time.Millisecond
	// slowInterval is the pause between two pieces of a slow peer.
	slowInterval = 20 * time.Millisecond
)

// endlessPhase is a response that never ends: start once, and then again and again more.
type endlessPhase struct {
	name, start, more string
	// kind is the fault of a call whose response is refused for its length alone; empty if it may end in any way.
	kind fault.Kind
}

// endlessPhases returns the phases of a response in which a peer may send without end.
func endlessPhases() []endlessPhase {
	var headers strings.Builder
	for n := range 2000 {
		fmt.Fprintf(&headers, "%x:\r\n", n)
	}
	const (
		ok      = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		stale   = "HTTP/1.1 200 OK\r\nId: 2\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	filler := strings.Repeat("x", 4<<10)
	return []endlessPhase{
		{"status line", "HTTP/1.1 200 ", filler, fault.Protocol},
		{"no response", "\x00\x01", filler, fault.Protocol},
		{"one header", ok + "A: ", filler, fault.Protocol},
		{"continued header", ok + "A: b\r\n", " " + filler + "\r\n", fault.Protocol},
		{"many headers", ok, headers.String(), fault.Protocol},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", fault.TargetFailed},
		{"head of an interim response", "HTTP/1.1 103 Early Hints\r\nA: ", filler, fault.Protocol},
		{"body of a response to another request", stale + "\r\n", filler, fault.Protocol},
		{"chunks of a response to another request", stale + chunked, "1000\r\n" + filler + "\r\n", fault.Protocol},
		{"responses to other requests", "", stale + "Content-Length: 2\r\n\r\nok", fault.TargetFailed},
		{"trailer of a response to another request", stale + chunked + "0\r\nA: ", filler, ""},
		{"chunk size", ok + chunked, "0", ""},
		{"chunk extension", ok + chunked + "1;", filler, ""},
		{"chunk extensions", ok + chunked, "1;" + filler[:1000] + "\r\nx\r\n", ""},
		{"chunks", ok + chunked, "1000\r\n" + filler + "\r\n", ""},
		{"trailer", ok + chunked + "0\r\nA: ", filler, ""},
		{"trailers", ok + chunked + "0\r\n", "A: b\r\n", ""},
		{"body without length", ok + "\r\n", filler, ""},
		{"bytes after the response", ok + "Content-Length: 2\r\n\r\nok", filler, ""},
	}
}

// sendEndlessly answers the first request of a connection with the phase, until the connection is closed.
func sendEndlessly(phase endlessPhase, interval time.Duration) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		more := []byte(phase.more) // once, so that the peer does not grow the heap
		if interval > 0 {
			more = more[:min(len(more), 30)]
		}
		for _, err := io.WriteString(conn, phase.start); err == nil; _, err = conn.Write(more) {
			time.Sleep(interval)
		}
	}
}

// heapPeak measures by how much the heap grows while do runs, as in a small box.
func heapPeak(do func()) int64 {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallBox * heapPercent / 100))
	runtime.GC()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	read := func() int64 {
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	before := read()
	peak := before
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				peak = max(peak, read())
			}
		}
	}()
	do()
	close(done)
	<-stopped
	return peak - before
}

// endlessCall makes one call.
func endlessCall(p *Pool, timeout time.Duration, confirm bool) error {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	req := Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("hi"), Matches: func(h http.Header) bool { return h.Get("Id") != "2" }, AcceptUnframed: true}
	if confirm {
		req.ContinueTimeout = endlessTimeout
	}
	resp, err := p.Send(ctx, req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp)
		resp.Close()
	}
	return err
}

// TestEndlessResponseIsBounded checks that a peer which sends without end, in whatever phase of its response, costs only
// a part of a small box's memory, also with many calls at once, and that its calls end in time. They took gigabytes, and
// ended seconds late.
func TestEndlessResponseIsBounded(t *testing.T) {
	for _, phase := range endlessPhases() {
		for _, c := range []struct {
			name     string
			calls    int
			interval time.Duration
			confirm  bool
		}{
			{"one call", 1, 0, false},
			{"many calls", 40, 0, false},
			{"many calls that await 100 Continue", 40, 0, true},
			{"slowly", 40, slowInterval, false},
		} {
			t.Run(phase.name+"/"+c.name, func(t *testing.T) {
				p := New(listen(t, sendEndlessly(phase, c.interval)), c.calls)
				grown := heapPeak(func() {
					var all sync.WaitGroup
					for range c.calls {
						all.Go(func() {
							start := time.Now()
							_ = endlessCall(p, endlessTimeout, c.confirm) // it may end in any way, but in time
							if took := time.Since(start); took > endlessTimeout+endSlack {
								t.Errorf("a call took %v", took)
							}
						})
					}
					all.Wait()
				})
				if grown > maxGrowth {
					t.Errorf("the heap grew by %d kB", grown>>10)
				}
			})
		}
	}
}

// TestEndlessResponseIsRefusedForItsLength checks that a call does not use up its time on a response whose head, or whose
// skipped part, goes on without end.
func TestEndlessResponseIsRefusedForItsLength(t *testing.T) {
	for _, phase := range endlessPhases() {
		if phase.kind == "" {
			continue
		}
		for _, confirm := range []bool{false, true} {
			p := New(listen(t, sendEndlessly(phase, 0)), 1)
			if err := endlessCall(p, time.Minute, confirm); !fault.Is(err, phase.kind) {
				t.Errorf("%s: error %v, want kind %s", phase.name, err, phase.kind)
			}
		}
	}
}

// BenchmarkSend measures a short call over a reused connection.
func BenchmarkSend(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4<<10)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := io.WriteString(conn, okResponse); err != nil {
				return
			}
		}
	}()
	p := New(ln.Addr().(*net.TCPAddr).AddrPort(), 1)
	defer p.Close()
	buf := make([]byte, 16)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := p.Send(context.Background(), Request{Method: http.MethodGet, Target: "/x", Host: "h"})
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = resp.Read(buf)
		}
		resp.Close()
	}
}

// TestLongHeadWithinLimitIsRead checks that a head that is long, and a body of many short lines that arrives with its
// head, are no reason to refuse a response.
func TestLongHeadWithinLimitIsRead(t *testing.T) {
	lines := strings.Repeat("\n", 20*maxHeadLines)
	for name, raw := range map[string]string{
		"one header":   strings.Replace(okResponse, "\r\n", "\r\nA: "+strings.Repeat("x", maxHeadBytes-100)+"\r\n", 1),
		"many headers": strings.Replace(okResponse, "\r\n", "\r\n"+strings.Repeat("A: b\r\n", maxHeadLines-10), 1),
	} {
		p := New(serve(t, func(int, *http.Request) (string, bool) { return raw, true }), 1)
		if got, err := get(t, p, Request{}); got != "ok" || err != nil {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines)
	p := New(serve(t, func(int, *http.Request) (string, bool) { return raw, true }), 1)
	for range 3 {
		if got, err := get(t, p, Request{}); got != lines || err != nil || p.Dials() > 1 {
			t.Errorf("body of %d bytes, %v, %d connections", len(got), err, p.Dials())
		}
	}
}

// TestErrorOfMalformedHeadIsShort checks that a malformed head does not end up in the log as a whole.
func TestErrorOfMalformedHeadIsShort(t *testing.T) {
	long := strings.Repeat("x", maxHeadBytes/2)
	for _, raw := range []string{long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n", "HTTP/1.1 " + long + " OK\r\n\r\n"} {
		p := New(serve(t, func(int, *http.Request) (string, bool) { return raw, false }), 1)
		_, err := get(t, p, Request{})
		if !fault.Is(err, fault.TargetFailed) || len(err.Error()) > 2*maxErrorBytes {
			t.Errorf("an error of %d bytes for %.20s...", len(err.Error()), raw)
		}
	}
}

package dial

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
)

// listen accepts connections and passes each to do, with its number.
func listen(t *testing.T, do func(n int, conn net.Conn)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go do(n, conn)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// serve responds to requests with the raw responses that do returns. do gets the number of the request on
// its connection, and also returns whether to keep the connection.
func serve(t *testing.T, do func(n int, req *http.Request) (string, bool)) netip.AddrPort {
	t.Helper()
	return listen(t, func(_ int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			raw, keep := do(n, req)
			if _, err := io.WriteString(conn, raw); err != nil || !keep {
				return
			}
		}
	})
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nok"

// get sends a GET request and returns the body of the response.
func get(t *testing.T, p *Pool, req Request) (string, error) {
	t.Helper()
	req.Method, req.Target, req.Host = http.MethodGet, "/x", "h"
	resp, err := p.Send(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	raw, err := io.ReadAll(resp)
	return string(raw), err
}

func TestConnectionIsReused(t *testing.T) {
	p := New(serve(t, func(int, *http.Request) (string, bool) { return okResponse, true }), 2)
	for range 5 {
		if got, err := get(t, p, Request{}); got != "ok" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if p.Dials() != 1 {
		t.Errorf("%d connections for 5 requests", p.Dials())
	}
}

// TestConnectionIsNotReused checks every reason not to reuse a connection.
func TestConnectionIsNotReused(t *testing.T) {
	cases := map[string]string{
		"the peer closes it":       strings.Replace(okResponse, "\r\n", "\r\nConnection: close\r\n", 1),
		"bytes after the response": okResponse + "more",
		"no length":                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(int, *http.Request) (string, bool) { return raw, !strings.Contains(raw, "close") }), 2)
			for range 3 {
				if got, err := get(t, p, Request{AcceptUnframed: true}); got != "ok" || err != nil {
					t.Fatalf("%q, %v", got, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if p.Dials() != 3 {
				t.Errorf("%d connections for 3 requests", p.Dials())
			}
		})
	}
}

// TestUnframedResponseIsNotComplete checks that a body which ends with its connection is complete only for requests that
// accept that, and that it is told from framed ones.
func TestUnframedResponseIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name, raw                string
		accept, framed, complete bool
	}{
		{"a length", okResponse, false, true, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, true, true},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", false, true, true},
		{"neither", "HTTP/1.1 200 OK\r\n\r\nok", false, false, false},
		{"neither, accepted", "HTTP/1.1 200 OK\r\n\r\nok", true, false, true},
		{"http 1.0", "HTTP/1.0 200 OK\r\n\r\nok", false, false, false},
		{"http 1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(serve(t, func(int, *http.Request) (string, bool) { return c.raw, false }), 1)
			resp, err := p.Send(context.Background(), Request{Method: http.MethodGet, Target: "/x", Host: "h", AcceptUnframed: c.accept})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			_, err = io.ReadAll(resp)
			if diff := cmp.Diff([]bool{c.framed, c.complete}, []bool{resp.Framed, err == nil}); diff != "" {
				t.Errorf("framed and complete, error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

// TestConnectionClosedWhileIdle checks that a request is not sent on a connection that the peer has
// closed.
func TestConnectionClosedWhileIdle(t *testing.T) {
	p := New(serve(t, func(int, *http.Request) (string, bool) { return okResponse, false }), 2)
	for range 3 {
		if got, err := get(t, p, Request{}); got != "ok" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestNothingIsSentTwice checks that a request whose connection breaks is not sent again, and that its
// fault does not have NotRun set.
func TestNothingIsSentTwice(t *testing.T) {
	seen := make(chan string, 10)
	addr := serve(t, func(n int, req *http.Request) (string, bool) {
		seen <- req.Method
		if n == 0 {
			return okResponse, true
		}
		return "", false
	})
	p := New(addr, 2)
	if _, err := get(t, p, Request{}); err != nil {
		t.Fatal(err)
	}
	_, err := get(t, p, Request{})
	if f := fault.From(err); f.Kind != fault.TargetFailed || f.NotRun {
		t.Errorf("fault %v, not run %v", err, f.NotRun)
	}
	if diff := cmp.Diff(2, len(seen)); diff != "" {
		t.Errorf("requests seen (-want +got):\n%s", diff)
	}
}

// TestExpectContinue checks that a request with ContinueTimeout has not run if the peer is gone or silent,
// and that a dead idle connection is replaced by a new one.
func TestExpectContinue(t *testing.T) {
	const within = 200 * time.Millisecond
	bodies := make(chan string, 4)
	handle := func(conn net.Conn, in *bufio.Reader) bool {
		req, err := http.ReadRequest(in)
		if err != nil {
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		raw, _ := io.ReadAll(req.Body)
		bodies <- string(raw)
		_, _ = io.WriteString(conn, okResponse)
		return true
	}
	cases := map[string]struct {
		peer func(n int, conn net.Conn)
		// reuse sends a request first, which leaves an idle connection.
		reuse bool
		kind  fault.Kind
		want  []string
	}{
		"healthy": {peer: func(_ int, conn net.Conn) {
			for in := bufio.NewReader(conn); handle(conn, in); {
			}
		}, reuse: true, want: []string{"body", "body"}},
		"silent":                 {peer: func(int, net.Conn) {}, kind: fault.NoTarget},
		"closes during the head": {peer: func(_ int, conn net.Conn) { _, _ = conn.Read(make([]byte, 1)); _ = conn.Close() }, kind: fault.NoTarget},
		"an idle connection is dead": {peer: func(n int, conn net.Conn) {
			in := bufio.NewReader(conn)
			handle(conn, in)
			if n == 0 {
				_, _ = http.ReadRequest(in)
				_ = conn.Close()
			}
		}, reuse: true, want: []string{"body", "body"}},
		"responds without the body": {peer: func(_ int, conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, okResponse)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(listen(t, c.peer), 2)
			req := Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("body"), ContinueTimeout: within}
			send := func() error {
				resp, err := p.Send(context.Background(), req)
				if err != nil {
					return err
				}
				defer resp.Close()
				_, err = io.ReadAll(resp)
				return err
			}
			if c.reuse {
				if err := send(); err != nil {
					t.Fatal(err)
				}
			}
			start := time.Now()
			err := send()
			if (err == nil) != (c.kind == "") || (err != nil && (!fault.Is(err, c.kind) || !fault.From(err).NotRun)) {
				t.Errorf("fault %v, not run %v", err, fault.From(err).NotRun)
			}
			if took := time.Since(start); took > 5*within {
				t.Errorf("took %v", took)
			}
			var got []string
			for len(bodies) > 0 {
				got = append(got, <-bodies)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("bodies that the peer received (-want +got):\n%s", diff)
			}
		})
	}
}

func TestConnectFailure(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	_ = ln.Close()
	_, err = get(t, New(addr, 1), Request{})
	if f := fault.From(err); f.Kind != fault.NoTarget || !f.NotRun {
		t.Errorf("fault %v, not run %v", err, f.NotRun)
	}
}

// TestStaleResponses checks that responses to earlier requests are skipped, and that the request fails if
// the peer sends nothing else.
func TestStaleResponses(t *testing.T) {
	isOwn := func(header http.Header) bool { return header.Get("Id") == "1" }
	stale := strings.Replace(okResponse, "Id: 1", "Id: 0", 1)
	p := New(serve(t, func(int, *http.Request) (string, bool) { return stale + okResponse, true }), 2)
	if got, err := get(t, p, Request{Matches: isOwn}); got != "ok" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := get(t, p, Request{Matches: isOwn}); err != nil || p.Dials() != 2 {
		t.Errorf("%v after %d connections", err, p.Dials())
	}
	p = New(serve(t, func(int, *http.Request) (string, bool) { return strings.Repeat(stale, 6), true }), 2)
	if _, err := get(t, p, Request{Matches: isOwn}); !fault.Is(err, fault.TargetFailed) {
		t.Errorf("fault %v", err)
	}
}

func TestTruncatedBody(t *testing.T) {
	for name, raw := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(int, *http.Request) (string, bool) { return raw, false }), 2)
			if got, err := get(t, p, Request{}); err == nil {
				t.Errorf("%q was read as a whole body", got)
			}
		})
	}
}

// TestResponseBeforeRequestEnds checks that a connection is not reused while part of its request is
// unwritten.
func TestResponseBeforeRequestEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 100)
				_, _ = conn.Read(buf) // reads only the beginning of the request
				_, _ = io.WriteString(conn, okResponse)
			}()
		}
	}()
	p := New(ln.Addr().(*net.TCPAddr).AddrPort(), 3)
	for range 2 {
		resp, err := p.Send(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
		if err != nil {
			t.Fatal(err)
		}
		if raw, err := io.ReadAll(resp); string(raw) != "ok" || err != nil {
			t.Errorf("%q, %v", raw, err)
		}
		resp.Close()
	}
	if p.Dials() != 2 {
		t.Errorf("%d connections for 2 requests", p.Dials())
	}
}

// TestLimit checks that a request is refused if all connections that the limit allows are in use.
func TestLimit(t *testing.T) {
	free := make(chan struct{})
	p := New(serve(t, func(int, *http.Request) (string, bool) { <-free; return okResponse, true }), 1)
	done := make(chan error)
	go func() {
		_, err := get(t, p, Request{})
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if !p.Full() {
		t.Error("not full")
	}
	if _, err := get(t, p, Request{}); !fault.Is(err, fault.Overloaded) || !fault.From(err).NotRun {
		t.Errorf("fault %v", err)
	}
	close(free)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestLoweredLimit checks that connections above a lowered limit are closed once they are idle.
func TestLoweredLimit(t *testing.T) {
	free := make(chan struct{})
	p := New(serve(t, func(int, *http.Request) (string, bool) { <-free; return okResponse, true }), 4)
	done := make(chan error)
	for range 4 {
		go func() {
			_, err := get(t, p, Request{})
			done <- err
		}()
	}
	for p.Dials() < 4 {
		time.Sleep(10 * time.Millisecond)
	}
	p.SetLimit(2)
	close(free)
	for range 4 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	if open != 2 {
		t.Errorf("%d connections are open", open)
	}
	p.SetLimit(1)
	if p.Full() || len(p.idle) != 1 {
		t.Errorf("%d idle connections", len(p.idle))
	}
}

// TestContextEnds checks that a request fails at once when its context ends, and that its connection is
// discarded.
func TestContextEnds(t *testing.T) {
	p := New(serve(t, func(int, *http.Request) (string, bool) { time.Sleep(time.Minute); return okResponse, true }), 1)
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	start := time.Now()
	_, err := p.Send(ctx, Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if !fault.Is(err, fault.TimedOut) || time.Since(start) > time.Second {
		t.Errorf("%v after %v", err, time.Since(start))
	}
	if p.Full() {
		t.Error("the connection is still counted")
	}
}

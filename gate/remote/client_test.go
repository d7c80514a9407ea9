package remote

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/dial"
	"mulleingate.dev/gate/work"
)

// unexpectedAnswer is a work.Answer that fails the test if a response begins.
type unexpectedAnswer struct{ t *testing.T }

func (a unexpectedAnswer) Begin(work.Head) error {
	a.t.Error("a response begins, want none")
	return nil
}
func (a unexpectedAnswer) Write([]byte) error { return nil }

// turnTo sends a turn to a box and returns the fault.
func turnTo(t *testing.T, c *Client, box work.Box) *fault.Fault {
	t.Helper()
	now := time.Now()
	call := &work.Call{ID: "r", Turn: &work.Turn{Program: "p"}, Arrived: now, Deadline: now.Add(5 * time.Second)}
	err := c.Turn(context.Background(), box, 1, nil, call, &work.Route{}, unexpectedAnswer{t})
	if err == nil {
		t.Fatal("the turn succeeds, want a fault")
	}
	return fault.From(err)
}

// TestFullPoolIsNotPeerUnreachable checks that a full connection pool yields OwnerUnavailable with a Retry-After
// delay, and a refused connection PeerUnreachable, for turns and for searches.
func TestFullPoolIsNotPeerUnreachable(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	c := newNearClient()
	c.pools[box.Peer] = dial.New(box.Peer, 1)
	go func() { _ = c.Ping(context.Background(), box) }() // occupies the only connection
	for end := time.Now().Add(5 * time.Second); !c.pool(box.Peer).Full(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still free")
		}
	}
	if f := turnTo(t, c, box); f.Kind != fault.OwnerUnavailable || !f.NotRun || f.RetryAfter <= 0 {
		t.Errorf("no connection is free: %v, not run %v, retry after %v", f, f.NotRun, f.RetryAfter)
	}
	if _, _, err := c.Find(context.Background(), box, "turn", 3, false); !fault.Is(err, fault.OwnerUnavailable) {
		t.Errorf("a search while no connection is free: %v", err)
	}
	gone := work.Box{Name: "c", Peer: netip.MustParseAddrPort(closedAddr(t))}
	if f := turnTo(t, c, gone); f.Kind != fault.PeerUnreachable || !f.NotRun {
		t.Errorf("connection refused: %v, not run %v", f, f.NotRun)
	}
	if _, _, err := c.Find(context.Background(), gone, "turn", 3, false); !fault.Is(err, fault.PeerUnreachable) {
		t.Errorf("a search with the connection refused: %v", err)
	}
}

// TestTurnToDeadBoxHasNotRun checks that a turn sent to a box that resets the connection or hangs fails in
// time and is known not to have run.
func TestTurnToDeadBoxHasNotRun(t *testing.T) {
	for name, do := range map[string]func(conn net.Conn){
		"resets": func(conn net.Conn) { _ = conn.Close() },
		"hangs":  func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
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
					do(conn)
				}
			}()
			start := time.Now()
			f := turnTo(t, newNearClient(), work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String())})
			if f.Kind != fault.PeerUnreachable || !f.NotRun || time.Since(start) > 2*continueTimeout {
				t.Errorf("%v, not run %v, after %v", f, f.NotRun, time.Since(start))
			}
		})
	}
}

// closedAddr returns an address on which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}

// newNearClient returns a client for which all boxes are near and no other box is asked for a slot.
func newNearClient() *Client {
	return NewClient(func(work.Box) bool { return true }, func(int, work.Box) []work.Box { return nil })
}

// unframedBox listens as a box that answers every request with the body, whose end only its connection marks.
func unframedBox(t *testing.T, body string) work.Box {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if req.Header.Get("Expect") != "" {
					_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // a failure shows in the next write
				}
				_, _ = io.Copy(io.Discard, req.Body)                        // the rest of the request
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body) // the test fails without it
			}()
		}
	}()
	return work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String())}
}

// textAnswer collects an answer.
type textAnswer struct{ strings.Builder }

func (*textAnswer) Begin(work.Head) error { return nil }

func (a *textAnswer) Write(data []byte) error {
	_, err := a.Builder.Write(data)
	return err
}

// TestUnframedResponseOfBoxIsNotComplete checks that a response of another box which ends with its connection is not
// taken for complete: boxes always frame theirs.
func TestUnframedResponseOfBoxIsNotComplete(t *testing.T) {
	head, err := frame(turnResponse{Head: &work.Head{Status: http.StatusOK, Length: -1}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	call := &work.Call{ID: "r", Turn: &work.Turn{Program: "p"}, Arrived: now, Deadline: now.Add(5 * time.Second)}
	out := &textAnswer{}
	err = newNearClient().Turn(context.Background(), unframedBox(t, string(head)+"data: a\n\n"), 1, nil, call, &work.Route{}, out)
	if !fault.Is(err, fault.PeerUnreachable) {
		t.Errorf("turn: %v, with the answer %q", err, out.String())
	}
	_, _, err = newNearClient().Find(context.Background(), unframedBox(t, "{}"), "turn", 3, false)
	if err == nil {
		t.Error("a search that found nothing")
	}
}

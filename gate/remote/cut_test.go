package remote

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/work"
)

// cuttingBox is a box whose responses end after as many bytes as it is told, by a close or a reset.
type cuttingBox struct {
	work.Box
	response string
	cut      atomic.Int64
	reset    bool
}

func newCuttingBox(t *testing.T, response string, reset bool) *cuttingBox {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	b := &cuttingBox{Box: work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String())}, response: response, reset: reset}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn.(*net.TCPConn))
		}
	}()
	return b
}

func (b *cuttingBox) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }() // the client may have closed it
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if req.Header.Get("Expect") != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // the next read fails otherwise
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, b.response[:b.cut.Load()]) // the client may have closed it
	if b.reset {
		time.Sleep(time.Millisecond) // the client discards what it has not read when it is reset
		_ = conn.SetLinger(0)        // fails only on a closed connection
	}
}

// countingAnswer is a work.Answer that counts the bytes of its body.
type countingAnswer struct{ bytes int }

func (*countingAnswer) Begin(work.Head) error { return nil }
func (a *countingAnswer) Write(data []byte) error {
	a.bytes += len(data)
	return nil
}

// TestCutResponseOfBoxIsNotWhole guards against a part of another box's response that is taken for a whole one, wherever it
// is cut and however it is framed: a turn whose answer would reach the caller as complete, a slot that would count as handed over.
func TestCutResponseOfBoxIsNotWhole(t *testing.T) {
	head, err := frame(turnResponse{Head: &work.Head{Status: http.StatusOK, Length: -1}})
	if err != nil {
		t.Fatal(err)
	}
	requests := map[string]struct {
		body string
		send func(ctx context.Context, c *Client, box work.Box) error
	}{
		"turn": {string(head) + "data: x\n\n", func(ctx context.Context, c *Client, box work.Box) error {
			now := time.Now()
			call := &work.Call{ID: "r", Turn: &work.Turn{Program: "p"}, Arrived: now, Deadline: now.Add(5 * time.Second)}
			return c.Turn(ctx, box, 1, nil, call, &work.Route{}, &countingAnswer{})
		}},
		"find": {`{"slots":[3]}`, func(ctx context.Context, c *Client, box work.Box) error {
			_, _, err := c.Find(ctx, box, "t", 1, false)
			return err
		}},
		"deliver": {"", func(ctx context.Context, c *Client, box work.Box) error {
			return c.Deliver(ctx, box, 1, []work.Record{{Key: "k"}})
		}},
		"handover": {"ok", func(ctx context.Context, c *Client, box work.Box) error { return c.Handover(ctx, box, 1, work.Owner{}) }},
		"keeps": {`{"keeps":true}`, func(ctx context.Context, c *Client, box work.Box) error {
			_, err := c.Keeps(ctx, box, 1, work.Owner{})
			return err
		}},
		"quota": {`{"granted":1}`, func(ctx context.Context, c *Client, box work.Box) error {
			_, err := c.Quota(ctx, box, quota.GrantRequest{Want: 1})
			return err
		}},
	}
	for name, req := range requests {
		for framing, text := range map[string]string{
			"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.body), req.body),
			"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimPrefix(fmt.Sprintf("%x\r\n%s\r\n", len(req.body), req.body), "0\r\n\r\n") + "0\r\n\r\n",
			"neither": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + req.body,
			"old":     "HTTP/1.0 200 OK\r\n\r\n" + req.body,
		} {
			isFramed := framing == "length" || framing == "chunks"
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/%v", name, framing, reset), func(t *testing.T) {
					t.Parallel()
					box := newCuttingBox(t, text, reset)
					for cut := range len(text) + 1 {
						box.cut.Store(int64(cut))
						client := newNearClient()
						err := req.send(context.Background(), client, box.Box)
						client.CloseAllExcept(nil)
						whole := cut == len(text) && isFramed
						if mayFail := whole && reset; (err == nil) != whole && !mayFail {
							t.Errorf("%d of %d bytes: %v", cut, len(text), err)
						}
					}
				})
			}
		}
	}
}

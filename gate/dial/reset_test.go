package dial

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 3 << 20

// upload sends a long request that accepts an unframed response, and returns the body that counts as whole.
func upload(p *Pool) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	resp, err := p.Send(ctx, Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, uploadBytes), AcceptUnframed: true})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	raw, err := io.ReadAll(resp)
	return string(raw), err
}

// TestResetDuringUploadIsNoEnd guards against an answer that is cut by a reset and passes as whole: the writer of the request got
// the reset, and the reader only saw the end of the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		// read is how much of the request the peer reads before it answers, and pause the time between its answer and the end.
		read  int
		pause time.Duration
		// end ends the connection after the answer.
		end func(conn *net.TCPConn)
	}{
		{"reset at once", 0, 0, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		{"reset later", 0, 5 * time.Millisecond, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		{"closed with unread bytes", 0, 0, func(conn *net.TCPConn) { _ = conn.Close() }},
		{"reset in the middle", uploadBytes / 2, 0, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		{"reset near the end", uploadBytes - 8<<10, 0, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := listen(t, func(_ int, conn net.Conn) {
				tcp := conn.(*net.TCPConn)
				_, _ = io.CopyN(io.Discard, tcp, int64(max(c.read, 200)))
				_, _ = io.WriteString(tcp, "HTTP/1.1 200 OK\r\n\r\npart of it")
				time.Sleep(c.pause)
				c.end(tcp)
			})
			var all sync.WaitGroup
			slots := make(chan struct{}, 10)
			for range 200 {
				slots <- struct{}{}
				all.Go(func() {
					defer func() { <-slots }()
					if got, err := upload(New(addr, 1)); err == nil {
						t.Errorf("%q counts as whole", got)
					}
				})
			}
			all.Wait()
		})
	}
}

// TestEarlyAnswerIsWhole checks that a peer may answer before it has read a long request: its answer is whole if it says so, or
// if it ends what it sends in order.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"unframed": "HTTP/1.1 200 OK\r\n\r\nok",
		"length":   okResponse,
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := listen(t, func(_ int, conn net.Conn) {
				tcp := conn.(*net.TCPConn)
				_, _ = io.CopyN(io.Discard, tcp, 200)
				_, _ = io.WriteString(tcp, raw)
				_ = tcp.CloseWrite()
				time.Sleep(100 * time.Millisecond)
				_, _ = io.Copy(io.Discard, tcp)
			})
			for range 20 {
				if got, err := upload(New(addr, 1)); got != "ok" || err != nil {
					t.Errorf("%q, %v", got, err)
				}
			}
		})
	}
}

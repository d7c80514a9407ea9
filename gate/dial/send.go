package dial

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// maxResponseHeads bounds the response heads that are read for one request, including those of interim
// responses and of responses to earlier requests.
const maxResponseHeads = 4

// maxSkippedBody bounds the body of a response to another request that is skipped, in bytes. It exceeds the largest
// requests, whose responses are the longest that replicas send twice.
const maxSkippedBody = 4 << 20

// requestHeadSize is enough for most heads of requests, in bytes.
const requestHeadSize = 1 << 10

// Request is a request to send.
type Request struct {
	Method string
	// Target is the path and query as sent on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a reused connection may have been idle if the peer has not announced an idle
	// timeout; zero means the pool's own bound. With a short bound, the request is less likely to be lost
	// on a connection that the peer has just closed.
	MaxIdle time.Duration
	// ContinueTimeout is how long the peer may take to ask for the body with 100 Continue. The body is held
	// back until then, so that a request which fails on a dead connection has not run. Zero sends
	// everything at once.
	ContinueTimeout time.Duration
	// Alive, if not nil, is called if the peer has not responded within ContinueTimeout. If it returns true, the
	// peer gets ContinueGrace more, since it is only slow.
	Alive         func() bool
	ContinueGrace time.Duration
	// ConnectTimeout bounds the opening of a connection for a request with ContinueTimeout; zero means the
	// pool's own bound.
	ConnectTimeout time.Duration
	// Matches reports whether a response belongs to this request; nil accepts any.
	Matches func(header http.Header) bool
	// AcceptUnframed accepts a body that ends with its connection as complete; see Response.Framed. The caller must
	// check what it can of such a body.
	AcceptUnframed bool
}

// Response is a response whose head has been read.
type Response struct {
	Status int
	Header http.Header
	// Length is negative if the response does not announce it.
	Length int64
	// Framed reports whether the response announces its length or is chunked. Any other body ends with its
	// connection, so that its end does not prove that it is complete.
	Framed bool

	// acceptUnframed is Request.AcceptUnframed.
	acceptUnframed bool

	pool *Pool
	conn *conn
	body io.ReadCloser
	// trailer is filled in at the end of the body.
	trailer func() http.Header
	// unwatch stops the watch on the caller's context; it returns false if that context has ended.
	unwatch func() bool
	// written is closed once the whole request has been written or a write has failed.
	written chan struct{}
	// writeFailed is set if the request could not be written completely.
	writeFailed *atomic.Bool
	// reusable is set if the head of the response allows another request on the connection.
	reusable  bool
	bodyEnded bool
	closed    bool
}

// Send sends the request once. A fault with NotRun means that the peer has not received the whole
// request, and one of kind Protocol that the peer sent too much before the response. The caller must call Close on the
// response. When ctx ends, reads and writes on the connection fail.
func (p *Pool) Send(ctx context.Context, req Request) (*Response, error) {
	if req.MaxIdle == 0 {
		req.MaxIdle = maxIdleTime
	}
	if req.ContinueTimeout > 0 {
		return p.sendExpectContinue(ctx, req)
	}
	c, err := p.acquire(ctx, req.MaxIdle)
	if err != nil {
		return nil, err
	}
	resp := p.newResponse(ctx, c)
	resp.writeRequest(requestHead(req), req.Body)
	return resp.awaitResponse(ctx, req)
}

// newResponse returns the response to a request that is about to be sent on the connection, which is
// interrupted when ctx ends.
func (p *Pool) newResponse(ctx context.Context, c *conn) *Response {
	resp := &Response{pool: p, conn: c, written: make(chan struct{}), writeFailed: &atomic.Bool{}}
	resp.unwatch = context.AfterFunc(ctx, c.interrupt)
	return resp
}

// awaitResponse waits for the head of the response. If that fails, it discards the connection.
func (r *Response) awaitResponse(ctx context.Context, req Request) (*Response, error) {
	err := r.readHead(req)
	if err == nil {
		return r, nil
	}
	r.unwatch()
	r.pool.discard(r.conn)
	if ctx.Err() != nil {
		return nil, fault.Fail(fault.TimedOut, "the call ended before the target answered").WithCause(err)
	}
	kind := fault.TargetFailed
	if fault.Is(err, fault.Protocol) {
		kind = fault.Protocol
	}
	return nil, fault.Fail(kind, "the target did not answer").WithCause(err)
}

// maxInlineWrite is the longest request that is written before its response is read, in bytes. Writing a
// longer one may block while the target already responds.
const maxInlineWrite = 4 << 10

// writeRequest writes the head and the body of the request, in the background if they are long. It doesn't join them then: a
// copy of the body would stay in memory for as long as the peer does not read it.
func (r *Response) writeRequest(head, body []byte) {
	if len(head)+len(body) <= maxInlineWrite {
		r.writeAll(net.Buffers{append(head, body...)})
		return
	}
	go r.writeAll(net.Buffers{head, body})
}

func (r *Response) writeAll(parts net.Buffers) {
	defer close(r.written)
	if _, err := parts.WriteTo(r.conn.netConn); err != nil {
		r.writeFailed.Store(true)
	}
}

// requestHead returns the request line and headers.
func requestHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(requestHeadSize)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b) // a buffer accepts all writes
	if req.ContinueTimeout > 0 {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads response heads until one belongs to the request.
func (r *Response) readHead(req Request) error {
	skipped := false
	for range maxResponseHeads {
		resp, err := r.conn.readHead(&http.Request{Method: req.Method}) //nolint:bodyclose // Close closes or releases the connection
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			r.setHead(resp, skipped, req.AcceptUnframed)
			return nil
		}
		skipped = true
		if err := skip(resp.Body); err != nil {
			return err
		}
	}
	return fault.Fail(fault.TargetFailed, "the target sent too many interim responses or responses to other requests")
}

// skip reads the body of a response to another request.
func skip(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxSkippedBody+1)
	switch {
	case n > maxSkippedBody:
		return fault.Fail(fault.Protocol, "the response to another request is too long")
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

func (r *Response) setHead(resp *http.Response, skipped, acceptUnframed bool) {
	r.Status, r.Header, r.Length, r.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	r.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	r.trailer = func() http.Header { return resp.Trailer }
	r.acceptUnframed = acceptUnframed
	r.reusable = !resp.Close && !skipped
}

// Read reads the body. It returns io.EOF only after the whole body, unless the response is unframed and the request
// accepts that.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.body.Read(data)
	if err != io.EOF {
		return n, err
	}
	if err := r.checkEnd(); err != nil {
		return n, err
	}
	r.bodyEnded = true
	return n, io.EOF
}

// checkEnd returns an error if the body at whose end the reader is may not be whole. One that is not framed ends with its
// connection: it is whole only if the peer has closed its sending side in order.
func (r *Response) checkEnd() error {
	if r.Framed {
		return checkTrailer(r.trailer())
	}
	if !r.acceptUnframed || r.conn.wasReset() || r.writeFailed.Load() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Close returns the connection to the pool if it can be reused, and closes it otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	watching := r.unwatch()
	if !watching || !r.bodyEnded || !r.reusable || !r.requestWritten() || r.conn.reader.Buffered() > 0 {
		r.pool.discard(r.conn)
		return
	}
	r.pool.release(r.conn, keepAliveTimeout(r.Header))
}

// requestWritten reports whether the whole request has been written.
func (r *Response) requestWritten() bool {
	select {
	case <-r.written:
		return !r.writeFailed.Load()
	default:
		return false
	}
}

// keepAliveTimeout returns how long the peer keeps an idle connection; zero if it does not say.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			secs, err := strconv.Atoi(value)
			if err == nil && secs > 0 {
				return time.Duration(secs) * time.Second
			}
		}
	}
	return 0
}

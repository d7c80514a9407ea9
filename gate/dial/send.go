package dial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mulleingate.dev/base/fault"
)

// maxSurplus bounds the answers to earlier requests that are skipped before a connection
// is given up.
const maxSurplus = 4

// headRoom is enough for most heads of requests, in bytes.
const headRoom = 1 << 10

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as they go on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxRest bounds how long a reused connection may have rested, where the peer does not say how long it keeps
	// one; zero means the pool's own bound. A short one makes it less likely that the request is lost on a connection
	// that the peer has just closed.
	MaxRest time.Duration
	// Confirm is how long the peer may take to say that it takes the request, before which the body is held
	// back; zero sends all at once. The peer must not act before it has the body. Where the connection turns
	// out to be dead, the request then has surely not run.
	Confirm time.Duration
	// Mine tells whether an answer belongs to this request; nil takes any.
	Mine func(header http.Header) bool
}

// Response is an answer whose head has come.
type Response struct {
	Status int
	Header http.Header
	// Length is negative if the answer does not tell it.
	Length int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// stop ends the watch on the caller's context.
	stop func() bool
	// sent is closed once the whole request is written or has failed to be.
	sent chan struct{}
	// failed is set if the request could not be written whole.
	failed *atomic.Bool
	// reusable says that the answer's head allows another request on the connection.
	reusable bool
	ended    bool
	done     bool
}

// Send sends the request once. A fault with NotRun means that the peer has not seen it whole.
// The caller must call Close on the response. Once ctx ends, the connection is cut.
func (p *Pool) Send(ctx context.Context, req Request) (*Response, error) {
	if req.MaxRest == 0 {
		req.MaxRest = maxIdle
	}
	if req.Confirm > 0 {
		return p.confirmed(ctx, req)
	}
	c, err := p.take(ctx, req.MaxRest)
	if err != nil {
		return nil, err
	}
	resp := p.begin(ctx, c)
	resp.write(append(head(req, len(req.Body)), req.Body...))
	return resp.answer(ctx, req)
}

// begin starts an exchange on the connection.
func (p *Pool) begin(ctx context.Context, c *conn) *Response {
	resp := &Response{pool: p, conn: c, sent: make(chan struct{}), failed: &atomic.Bool{}}
	resp.stop = context.AfterFunc(ctx, c.interrupt)
	return resp
}

// answer waits for the head of the answer.
func (r *Response) answer(ctx context.Context, req Request) (*Response, error) {
	err := r.read(req)
	if err == nil {
		return r, nil
	}
	r.stop()
	r.pool.drop(r.conn)
	if ctx.Err() != nil {
		return nil, fault.Fail(fault.TimedOut, "the call ended before the target answered").Because(err)
	}
	return nil, fault.Fail(fault.TargetFailed, "the target did not answer").Because(err)
}

// inline is the longest request that is written before its answer is read, in bytes. A
// longer one may fill the connection while the target already answers.
const inline = 4 << 10

func (r *Response) write(raw []byte) {
	if len(raw) <= inline {
		r.put(raw)
		return
	}
	go r.put(raw)
}

func (r *Response) put(raw []byte) {
	defer close(r.sent)
	if _, err := r.conn.raw.Write(raw); err != nil {
		r.failed.Store(true)
	}
}

// head is the request without its body, with room for so many bytes behind it.
func head(req Request, room int) []byte {
	var b bytes.Buffer
	b.Grow(headRoom + room)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b) // a buffer takes all writes
	if req.Confirm > 0 {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads heads until one belongs to the request.
func (r *Response) read(req Request) error {
	surplus := false
	for range maxSurplus {
		resp, err := http.ReadResponse(r.conn.in, &http.Request{Method: req.Method}) //nolint:bodyclose // the connection is cut or given back by Close
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Mine == nil || req.Mine(resp.Header) {
			r.take(resp, surplus)
			return nil
		}
		surplus = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return fault.Fail(fault.Protocol, "the target sends answers to other requests")
}

func (r *Response) take(resp *http.Response, surplus bool) {
	r.Status, r.Header, r.Length, r.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	r.reusable = !resp.Close && !surplus
}

// Read reads the body. It ends with io.EOF only after the whole body.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.body.Read(data)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close gives the connection back if the answer came whole, and cuts it otherwise.
func (r *Response) Close() {
	if r.done {
		return
	}
	r.done = true
	alive := r.stop()
	if !alive || !r.ended || !r.reusable || !r.whole() || r.conn.in.Buffered() > 0 {
		r.pool.drop(r.conn)
		return
	}
	r.pool.put(r.conn, restOf(r.Header))
}

// whole reports whether the request was written to its end.
func (r *Response) whole() bool {
	select {
	case <-r.sent:
		return !r.failed.Load()
	default:
		return false
	}
}

// restOf reads how long the peer keeps an idle connection; zero if it does not say.
func restOf(header http.Header) time.Duration {
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

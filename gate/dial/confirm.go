package dial

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// sendExpectContinue sends the request's body only once the peer has asked for it. An idle connection may
// be dead without notice, so if a reused one fails, the next is tried, and finally a new one. If the peer
// does not respond in time, no other connection is tried, since it would not respond there either.
func (p *Pool) sendExpectContinue(ctx context.Context, req Request) (*Response, error) {
	for {
		c, err := p.acquireWithin(ctx, req)
		if err != nil {
			return nil, err
		}
		reused := !c.idleSince.IsZero()
		resp := p.newResponse(ctx, c)
		err = resp.writeExpectContinue(ctx, req)
		if err == nil {
			return resp.awaitResponse(ctx, req)
		}
		resp.unwatch()
		p.discard(c)
		if ctx.Err() != nil {
			return nil, fault.Refuse(fault.TimedOut, "the call ended before the target accepted it").WithCause(err)
		}
		if !reused || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, fault.Refuse(fault.NoTarget, "the target did not accept the call").WithCause(err)
		}
	}
}

// acquireWithin is acquire with the connect timeout of the request.
func (p *Pool) acquireWithin(ctx context.Context, req Request) (*conn, error) {
	if req.ConnectTimeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, req.ConnectTimeout)
		defer stop()
	}
	return p.acquire(ctx, req.MaxIdle)
}

// writeExpectContinue writes the head of the request and, if the peer asks for it, the body. Any other
// response is left unread.
func (r *Response) writeExpectContinue(ctx context.Context, req Request) error {
	if _, err := r.conn.netConn.Write(requestHead(req)); err != nil {
		return err
	}
	wantsBody, err := r.awaitContinue(ctx, req.ContinueTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil && req.Alive != nil && req.Alive() {
		wantsBody, err = r.awaitContinue(ctx, req.ContinueGrace)
	}
	if err != nil || !wantsBody {
		return err
	}
	r.writeRequest(nil, req.Body)
	return nil
}

// awaitContinue waits until the peer responds, and reports whether it asks for the body.
func (r *Response) awaitContinue(ctx context.Context, timeout time.Duration) (bool, error) {
	if err := r.conn.netConn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	continueLine := []byte("HTTP/1.1 100")
	start, err := r.conn.reader.Peek(len(continueLine))
	if err != nil {
		return false, err
	}
	if err := r.conn.netConn.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	if ctx.Err() != nil {
		r.conn.interrupt() // SetReadDeadline may have cleared the deadline that interrupt set
	}
	if string(start) != string(continueLine) {
		return false, nil
	}
	_, err = r.conn.readHead(nil) //nolint:bodyclose // an interim response has no body
	return err == nil, err
}

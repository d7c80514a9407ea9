package dial

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// confirmed sends the request's body only once the peer has said that it takes it. What rested in the pool may
// be dead without a sign: a connection that fails then is left for the next, down to a new one. A peer that is
// silent is given up at once, since a new connection would be, too.
func (p *Pool) confirmed(ctx context.Context, req Request) (*Response, error) {
	for {
		c, err := p.take(ctx, req.MaxRest)
		if err != nil {
			return nil, err
		}
		rested := !c.since.IsZero()
		resp := p.begin(ctx, c)
		err = resp.ask(ctx, req)
		if err == nil {
			return resp.answer(ctx, req)
		}
		resp.stop()
		p.drop(c)
		if ctx.Err() != nil {
			return nil, fault.Refuse(fault.TimedOut, "the call ended before the target took it").Because(err)
		}
		if !rested || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, fault.Refuse(fault.NoTarget, "the target does not take the call").Because(err)
		}
	}
}

// ask writes the head of the request and, once the peer wants it, the body. An answer that comes without that
// is left to be read.
func (r *Response) ask(ctx context.Context, req Request) error {
	if _, err := r.conn.raw.Write(head(req, 0)); err != nil {
		return err
	}
	wanted, err := r.wanted(ctx, req.Confirm)
	if err != nil || !wanted {
		return err
	}
	r.write(req.Body)
	return nil
}

// wanted reports whether the peer asks for the body, false if it has begun another answer.
func (r *Response) wanted(ctx context.Context, within time.Duration) (bool, error) {
	if err := r.conn.raw.SetReadDeadline(time.Now().Add(within)); err != nil {
		return false, err
	}
	wants := []byte("HTTP/1.1 100")
	begin, err := r.conn.in.Peek(len(wants))
	if err != nil {
		return false, err
	}
	if err := r.conn.raw.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	if ctx.Err() != nil {
		r.conn.interrupt() // its deadline may just have been undone
	}
	if string(begin) != string(wants) {
		return false, nil
	}
	_, err = http.ReadResponse(r.conn.in, nil) //nolint:bodyclose // an interim answer has no body
	return err == nil, err
}

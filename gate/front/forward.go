package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/peer"
)

const (
	maxHops    = 3
	copyBuffer = 16 << 10
	// watchEvery is how often a forward looks whether the other box still answers others.
	watchEvery = 200 * time.Millisecond
	// The search for an owner waits this long between tries, longer each time.
	firstPause = 25 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// onOwner runs local if this box owns the slot, and forwards to the owner otherwise. It
// searches again, for a set time, while ownership moves. Every request that comes here is
// joined or answered from memory when it is repeated, so a lost answer is asked for again.
func (f *Front) onOwner(c *call, slot ident.Slot, path string, local func() error) error {
	ctx, stop := context.WithTimeout(c.r.Context(), f.opts.OwnerWait)
	defer stop()
	var find search
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := f.once(c, slot, path, local, &find)
		if err == nil {
			return nil
		}
		p := fault.From(err)
		if !find.again(c, p) {
			return find.settled(p)
		}
		select {
		case <-ctx.Done():
			return find.settled(p)
		case <-time.After(pause):
		}
	}
}

// once tries the box that seems to own the slot now.
func (f *Front) once(c *call, slot ident.Slot, path string, local func() error, find *search) error {
	member, here, err := f.owners.Locate(slot)
	find.here = here
	if err != nil {
		return err
	}
	if here {
		return local()
	}
	return f.forward(c, member, path)
}

// search is what a request has met on its way to the owner.
type search struct {
	// here says that the last try was on this box.
	here bool
	// touched says that some try may have reached a target.
	touched bool
}

// again reports whether another try may help and can do no harm.
func (s *search) again(c *call, p *fault.Fault) bool {
	if p.NotRun {
		return movable(p) && c.hop == 0
	}
	s.touched = true
	return !s.here && p.Kind == fault.PeerUnreachable && c.hop == 0
}

// movable reports whether another box may take the request.
func movable(p *fault.Fault) bool {
	return p.Kind == fault.NotOwner || p.Kind == fault.OwnerUnavailable || p.Kind == fault.Stopping || p.Kind == fault.PeerUnreachable
}

// settled is the failure as the caller sees it.
func (s *search) settled(p *fault.Fault) error {
	out := *p
	out.NotRun = p.NotRun && !s.touched
	if p.Kind == fault.PeerUnreachable || p.Kind == fault.NotOwner {
		out.Kind, out.Detail = fault.OwnerUnavailable, "the owner of the program could not be reached"
		out.RetryAfter = time.Second
	}
	return &out
}

// forward sends the request to another box and copies the answer through.
func (f *Front) forward(c *call, to types.Member, path string) error {
	if c.hop >= maxHops {
		return fault.Refuse(fault.NotOwner, "forwarded too often")
	}
	ctx, stop := f.whileLive(c.r.Context(), to.Name)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, c.r.Method, f.dialer.URL(to.Peer, path), bytes.NewReader(c.body))
	if err != nil {
		return fault.Refuse(fault.Internal, "forward cannot be built").WithCause(err)
	}
	for _, name := range []string{"Authorization", "Content-Type", "Idempotency-Key"} {
		if v := c.r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(peer.HopHeader, strconv.Itoa(c.hop+1))
	req.Header.Set(peer.RequestHeader, c.id)
	f.counts.Count("front.forwarded", 1)
	resp, err := f.dialer.Do(req)
	if err != nil {
		return away(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return client.Decode(resp, nil)
	}
	return f.copyThrough(c, resp)
}

// whileLive is a context that ends when the box falls silent: a link that was cut shows
// no failure by itself, and the caller would wait for its own timeout.
func (f *Front) whileLive(ctx context.Context, box string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	go kernel.Every(ctx, watchEvery, func() {
		if !f.owners.Live(box) {
			f.counts.Count("front.forwards_abandoned", 1)
			stop()
		}
	})
	return ctx, stop
}

func away(err error) error {
	p := *fault.From(err)
	p.Kind = fault.PeerUnreachable
	return &p
}

// copyThrough streams the answer. A stream that breaks is asked for again: its sequence
// then starts anew, which tells the caller to drop what it had.
func (f *Front) copyThrough(c *call, resp *http.Response) error {
	if !c.sent {
		c.w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		c.w.WriteHeader(resp.StatusCode)
		c.sent = true
	}
	out := http.NewResponseController(c.w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return fault.Fail(fault.DeadlineMissed, "caller is gone").WithCause(werr)
			}
			_ = out.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return away(fault.Fail(fault.TargetFailed, "answer broke off").WithCause(err))
		}
	}
}

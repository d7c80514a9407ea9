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
	// livenessInterval is the time between checks that the box of a forwarded request is live.
	livenessInterval = 200 * time.Millisecond
	// The pause between attempts to reach the owner doubles from minRetryPause to maxRetryPause.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// runOnOwner runs local if this box owns the slot, and forwards the request to path at the
// owner otherwise. It retries for at most Options.OwnerTimeout while ownership moves or the owner
// is unreachable. Retrying after a lost response is safe, because the owner joins a repeated
// request to the first one or repeats its answer.
func (f *Front) runOnOwner(c *call, slot ident.Slot, path string, local func() error) error {
	ctx, stop := context.WithTimeout(c.r.Context(), f.opts.OwnerTimeout)
	defer stop()
	var search ownerSearch
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := f.tryOwner(c, slot, path, local, &search)
		if err == nil {
			return nil
		}
		failure := fault.From(err)
		if !search.retryable(c, failure) {
			return search.finalError(failure)
		}
		select {
		case <-ctx.Done():
			return search.finalError(failure)
		case <-time.After(pause):
		}
	}
}

// tryOwner makes one attempt at the box that owns the slot as far as this box knows.
func (f *Front) tryOwner(c *call, slot ident.Slot, path string, local func() error, search *ownerSearch) error {
	member, isLocal, err := f.owners.Locate(slot)
	search.local = isLocal
	if err != nil {
		return err
	}
	if isLocal {
		return local()
	}
	return f.forward(c, member, path)
}

// ownerSearch is the state of the attempts to run a request at its owner.
type ownerSearch struct {
	// local says that the last attempt was on this box.
	local bool
	// mayHaveRun says that some attempt may have run the request.
	mayHaveRun bool
}

// retryable reports whether another attempt may succeed and is safe. Forwarded requests are
// not retried; the box that received them from the caller does that.
func (s *ownerSearch) retryable(c *call, failure *fault.Fault) bool {
	if failure.NotRun {
		return otherBoxMayServe(failure) && c.hops == 0
	}
	s.mayHaveRun = true
	return !s.local && failure.Kind == fault.PeerUnreachable && c.hops == 0
}

// otherBoxMayServe reports whether another box, or the next owner, may serve the request.
func otherBoxMayServe(failure *fault.Fault) bool {
	return failure.Kind == fault.NotOwner || failure.Kind == fault.OwnerUnavailable || failure.Kind == fault.Stopping || failure.Kind == fault.PeerUnreachable
}

// finalError returns the failure to report to the caller. It is marked as not run only if no
// attempt may have run the request.
func (s *ownerSearch) finalError(failure *fault.Fault) error {
	out := *failure
	out.NotRun = failure.NotRun && !s.mayHaveRun
	if failure.Kind == fault.PeerUnreachable || failure.Kind == fault.NotOwner {
		out.Kind, out.Detail = fault.OwnerUnavailable, "the owner of the program or key could not be reached"
		out.RetryAfter = time.Second
	}
	return &out
}

// forward sends the request to another box and streams the response to the caller.
func (f *Front) forward(c *call, to types.Member, path string) error {
	if c.hops >= maxHops {
		return fault.Refuse(fault.NotOwner, "the request was forwarded too often")
	}
	ctx, stop := f.whileLive(c.r.Context(), to.Name)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, c.r.Method, f.dialer.URL(to.Peer, path), bytes.NewReader(c.body))
	if err != nil {
		return fault.Refuse(fault.Internal, "the request cannot be forwarded").WithCause(err)
	}
	for _, name := range []string{"Authorization", "Content-Type", "Idempotency-Key"} {
		if v := c.r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(peer.HopHeader, strconv.Itoa(c.hops+1))
	req.Header.Set(peer.RequestHeader, c.id)
	f.counts.Count("front.forwarded", 1)
	resp, err := f.dialer.Do(req)
	if err != nil {
		return peerLost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return client.Decode(resp, nil)
	}
	return f.streamResponse(c, resp)
}

// whileLive returns a context that ends when the box is no longer live. A partitioned
// connection reports no error, so that the caller would otherwise wait for its own timeout.
func (f *Front) whileLive(ctx context.Context, box string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	go kernel.Every(ctx, livenessInterval, func() {
		if !f.owners.Live(box) {
			f.counts.Count("front.forwards_abandoned", 1)
			stop()
		}
	})
	return ctx, stop
}

// peerLost converts the error to a failure to reach the other box.
func peerLost(err error) error {
	failure := *fault.From(err)
	failure.Kind = fault.PeerUnreachable
	return &failure
}

// streamResponse copies the response to the caller. After a broken stream, the response of
// the next attempt follows in the same body; its sequence numbers start again at 1, which
// tells the caller to drop what it has received.
func (f *Front) streamResponse(c *call, resp *http.Response) error {
	if !c.responseStarted {
		c.w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		c.w.WriteHeader(resp.StatusCode)
		c.responseStarted = true
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
			return peerLost(fault.Fail(fault.TargetFailed, "the response is truncated").WithCause(err))
		}
	}
}

package detour

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// maxAttempts bounds the attempts at one call: through other boxes before, after and beside the direct path,
// and directly, including resends.
const maxAttempts = 2*maxProxies + (maxProxies + 1) + (1 + maxResends)

// race is one call with concurrent attempts on several paths. The first response of the log wins. This is safe
// since all calls of the log may be sent more than once.
type race struct {
	request
	ctx    context.Context
	detour *Detour
	// results has room for all attempts, so that none blocks after the race has ended.
	results chan result
	// pending is the number of attempts that have not ended.
	pending int
	// triedDirect is set once the call was sent directly; asked holds the boxes through which it was sent.
	triedDirect bool
	asked       []work.Box
	// lastFailure is the result of the latest attempt that did not reach the log.
	lastFailure result
}

func newRace(ctx context.Context, d *Detour, req request) *race {
	return &race{request: req, ctx: ctx, detour: d, results: make(chan result, maxAttempts)}
}

// sendDirect sends the call directly.
func (r *race) sendDirect() {
	r.triedDirect = true
	r.pending++
	go func() {
		got := r.make(r.ctx, r.detour.direct, true)
		if !notReached(got.err) {
			r.detour.noteAnswer()
		}
		r.results <- got
	}()
}

// sendViaProxy sends the call through another box. It returns false if none is left or the call has ended.
func (r *race) sendViaProxy() (work.Box, bool) {
	box, ok := r.detour.chooseProxy(r.asked)
	if !ok || r.ctx.Err() != nil {
		return work.Box{}, false
	}
	r.asked = append(r.asked, box)
	r.pending++
	go func() { r.results <- r.detour.via(r.ctx, box, r.make) }()
	return box, true
}

// await returns the first response of the log within limit. If it returns false, either the time is over and
// attempts are still pending, or all have failed and none is.
func (r *race) await(limit time.Duration) (result, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case got := <-r.results:
			if r.accept(got) {
				return got, true
			}
		case <-timer.C:
			return result{}, false
		}
	}
	return result{}, false
}

// accept records the result of an attempt and reports whether it is a response of the log.
func (r *race) accept(got result) bool {
	r.pending--
	if !notReached(got.err) {
		if got.isDirect() {
			r.detour.noteDirectSuccess(got.err)
		}
		return true
	}
	r.lastFailure = got
	switch {
	case r.ctx.Err() != nil && !got.isDirect():
		r.detour.avoid(got.proxy, false) // the box used up the time of the call
	case r.ctx.Err() == nil && got.isDirect():
		r.detour.noteDirectFailure(got.err)
	}
	return false
}

// tryProxies makes the call through other boxes. If one fails or does not respond in time, the next is tried,
// and the direct path as well if that is still untried, since this box may reach the log again itself.
func (r *race) tryProxies() (result, bool) {
	for range maxProxies {
		box, ok := r.sendViaProxy()
		if !ok {
			return result{}, false
		}
		got, ok := r.await(r.proxyDelay)
		if ok {
			return got, true
		}
		if r.pending > 0 {
			r.detour.avoid(box, false)
		}
		if !r.triedDirect {
			r.sendDirect()
		}
	}
	return result{}, false
}

// awaitSlowDirect waits for a slow direct call. Meanwhile it tries other boxes, the next after each
// proxyDelay, and sends the call directly again after resendInterval or when another direct call is
// answered.
func (r *race) awaitSlowDirect() result {
	nextProxy := time.NewTicker(r.proxyDelay)
	defer nextProxy.Stop()
	var resend <-chan time.Time
	if r.resendInterval > 0 {
		ticker := time.NewTicker(r.resendInterval)
		defer ticker.Stop()
		resend = ticker.C
	}
	box, sent := r.sendViaProxy()
	answered := r.detour.nextAnswer()
	for proxiesTried, resends := 1, 0; r.pending > 0; {
		select {
		case got := <-r.results:
			if r.accept(got) {
				return r.noteSlowDirect(got)
			}
			continue
		case <-nextProxy.C:
			if proxiesTried < maxProxies+1 {
				if sent {
					r.detour.avoid(box, false)
				}
				proxiesTried++
				box, sent = r.sendViaProxy()
			}
			continue
		case <-answered:
		case <-resend:
		}
		resends++
		answered = r.detour.nextAnswer()
		if resends >= maxResends {
			answered, resend = nil, nil
		}
		r.sendDirect()
	}
	return r.lastFailure
}

// noteSlowDirect counts the slow direct path as failed if another box responded first, and returns got.
func (r *race) noteSlowDirect(got result) result {
	if !got.isDirect() {
		r.detour.noteDirectFailure(fault.Fail(fault.LogUnavailable, "the log does not respond in time"))
	}
	return got
}

package detour

import (
	"context"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// maxWays bounds the ways that one call is sent: by other boxes before, after and beside the
// direct way, and directly, once and anew.
const maxWays = 2*tries + (tries + 1) + (1 + maxAnew)

// race is one call on its way to the log by several ways. The first that gets the log's word
// wins; all calls of the log may be sent more than once.
type race struct {
	ask
	ctx    context.Context
	detour *Detour
	// results has room for all ways, so that none waits for the end of the race.
	results chan result
	// pending counts the ways that have not ended.
	pending int
	// tried says that the direct way was taken, asked by way of which boxes the call went.
	tried bool
	asked []work.Box
	// last is the newest end of a way that did not reach the log.
	last result
}

func newRace(ctx context.Context, d *Detour, what ask) *race {
	return &race{ask: what, ctx: ctx, detour: d, results: make(chan result, maxWays)}
}

// direct sends the call directly.
func (r *race) direct() {
	r.tried = true
	r.pending++
	go func() {
		got := r.make(r.ctx, r.detour.direct, true)
		if !away(got.err) {
			r.detour.answered()
		}
		r.results <- got
	}()
}

// via sends the call by way of another box. It returns false if there is none to ask.
func (r *race) via() (work.Box, bool) {
	box, ok := r.detour.choose(r.asked)
	if !ok || r.ctx.Err() != nil {
		return work.Box{}, false
	}
	r.asked = append(r.asked, box)
	r.pending++
	go func() { r.results <- r.detour.via(r.ctx, box, r.make) }()
	return box, true
}

// word returns the log's word if one of the ways gets it within limit. Without it, ways are
// still pending if the time is over, and none is if all have ended.
func (r *race) word(limit time.Duration) (result, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case got := <-r.results:
			if r.take(got) {
				return got, true
			}
		case <-timer.C:
			return result{}, false
		}
	}
	return result{}, false
}

// take notes the end of a way and reports whether it got the log's word.
func (r *race) take(got result) bool {
	r.pending--
	if !away(got.err) {
		if got.direct() {
			r.detour.good(got.err)
		}
		return true
	}
	r.last = got
	switch {
	case r.ctx.Err() != nil && !got.direct():
		r.detour.shun(got.way, false) // it took all the time that the call had
	case r.ctx.Err() == nil && got.direct():
		r.detour.failed(got.err)
	}
	return false
}

// around makes the call by way of other boxes. One that fails or does not answer in time is
// left for the next, and the direct way is tried beside that unless it was before: the other
// box's trouble must not keep this box from a log that it may reach by itself again.
func (r *race) around() (result, bool) {
	for range tries {
		box, ok := r.via()
		if !ok {
			return result{}, false
		}
		got, ok := r.word(r.otherIn)
		if ok {
			return got, true
		}
		if r.pending > 0 {
			r.detour.shun(box, false)
		}
		if !r.tried {
			r.direct()
		}
	}
	return result{}, false
}

// finish waits for a direct way that takes long. It tries other boxes beside it, another each
// time that one has not answered, and the direct way once more when another call is answered.
func (r *race) finish() result {
	next := time.NewTicker(r.otherIn)
	defer next.Stop()
	var again <-chan time.Time
	if r.again > 0 {
		ticker := time.NewTicker(r.again)
		defer ticker.Stop()
		again = ticker.C
	}
	box, asked := r.via()
	heard := r.detour.next()
	for others, anew := 1, 0; r.pending > 0; {
		select {
		case got := <-r.results:
			if r.take(got) {
				return r.late(got)
			}
			continue
		case <-next.C:
			if others < tries+1 {
				if asked {
					r.detour.shun(box, false)
				}
				others++
				box, asked = r.via()
			}
			continue
		case <-heard:
		case <-again:
		}
		anew++
		heard = r.detour.next()
		if anew >= maxAnew {
			heard, again = nil, nil
		}
		r.direct()
	}
	return r.last
}

// late notes that the direct way took too long where another was faster.
func (r *race) late(got result) result {
	if !got.direct() {
		r.detour.failed(fault.Fail(fault.LogUnavailable, "the log does not answer"))
	}
	return got
}

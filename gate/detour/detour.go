package detour

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

const (
	// patience is how long a direct call may take before the detour is tried beside it; a
	// store sixty times slower than usual answers within it.
	patience = 450 * time.Millisecond
	// badFor is how long calls take the detour first after a direct one failed, twice as long
	// each time it fails again, badMost at most: each try of the direct way costs a call its
	// patience.
	badFor  = time.Second
	badMost = 4 * time.Second
	// avoidFor is how long a box is not asked again after the detour failed there.
	avoidFor = 600 * time.Millisecond
	// hopeless is the number of such boxes from which the log counts as away for all.
	hopeless = 3
	// tries bounds the boxes that one call is made by way of, one after the other.
	tries = 2
	// aroundWait bounds the wait for news at another box. A box that hangs is found after
	// aroundWait and patience: together with the pause between reads that is well below the
	// time for which a replica that leaves serves on, and in which a change must be in force.
	aroundWait = 200 * time.Millisecond
	// joinAgain is the time between two heartbeats sent while the first is not answered: what
	// was sent into a silent log is lost, and the first answer shows that the log is back.
	joinAgain = 250 * time.Millisecond
	// maxAnew bounds how often one call is sent again directly.
	maxAnew = 4
)

// Others are the boxes that may be asked.
type Others interface {
	// Others returns the living boxes without this one.
	Others() []work.Box
	// Via returns the log by way of a box.
	Via(box work.Box) work.Log
}

// Detour is the log, reached in one way or the other.
type Detour struct {
	direct work.Log
	others Others
	logger *slog.Logger

	mu sync.Mutex
	// badUntil is until when direct calls are believed to fail; zero while they don't. badNext
	// is for how long that is believed after the next failure.
	badUntil time.Time
	badNext  time.Duration
	// avoid holds the boxes that failed a detour, until when they are not asked.
	avoid map[string]time.Time
	// used is the box that served the last detour.
	used work.Box
	// heard is closed at the next answer of a direct call; nil while nobody waits for one.
	heard chan struct{}
}

// New makes a detour that has not been needed yet.
func New(direct work.Log, others Others, logger *slog.Logger) *Detour {
	return &Detour{direct: direct, others: others, logger: logger, avoid: map[string]time.Time{}}
}

// result is the end of one call; which fields hold something depends on the call.
type result struct {
	page       work.Page
	generation int64
	members    []string
	err        error
	// way is the box that was asked; empty for a direct call.
	way work.Box
}

func (r result) direct() bool {
	return r.way.Name == ""
}

// call is one of the calls of the log, made by one way. Direct says that it is this box's own.
type call func(ctx context.Context, log work.Log, direct bool) result

// ask is a call and how long its ways may take.
type ask struct {
	make call
	// direct is how long the direct way may take before another is tried beside it, around the
	// same for the way by another box.
	direct, around time.Duration
	// again is the time after which the call is sent directly once more while nothing answers;
	// zero sends it again only once another call was answered.
	again time.Duration
}

// Append implements the log. The same writer and number may go both ways: the log does it once.
func (d *Detour) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	return d.do(ctx, ask{direct: patience, around: patience, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Append(ctx, shard, writer, recs)}
	}}).err
}

// Join implements the log.
func (d *Detour) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	got := d.do(ctx, ask{direct: patience, around: patience, again: joinAgain, make: func(ctx context.Context, log work.Log, _ bool) result {
		generation, err := log.Join(ctx, member, generation, ttl)
		return result{generation: generation, err: err}
	}})
	return got.generation, got.err
}

// Leave implements the log.
func (d *Detour) Leave(ctx context.Context, member string) error {
	return d.do(ctx, ask{direct: patience, around: patience, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Leave(ctx, member)}
	}}).err
}

// Members implements the log.
func (d *Detour) Members(ctx context.Context) ([]string, error) {
	got := d.do(ctx, ask{direct: patience, around: patience, make: func(ctx context.Context, log work.Log, _ bool) result {
		members, err := log.Members(ctx)
		return result{members: members, err: err}
	}})
	return got.members, got.err
}

// Newest implements the log.
func (d *Detour) Newest(ctx context.Context, shard work.Shard, each func(work.Record)) (int64, error) {
	got := d.do(ctx, ask{direct: 2 * patience, around: 2 * patience, make: func(ctx context.Context, log work.Log, _ bool) result {
		var page work.Page
		next, err := log.Newest(ctx, shard, func(rec work.Record) { page.Records = append(page.Records, rec) })
		page.Next = next
		return result{page: page, err: err}
	}})
	if got.err != nil {
		return 0, got.err
	}
	for _, rec := range got.page.Records {
		each(rec)
	}
	return got.page.Next, nil
}

// Read implements the log.
func (d *Detour) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	around := min(wait, aroundWait)
	got := d.do(ctx, ask{direct: wait + patience, around: around + patience, make: func(ctx context.Context, log work.Log, direct bool) result {
		news := wait
		if !direct {
			news = around
		}
		page, err := log.Read(ctx, shard, from, news)
		return result{page: page, err: err}
	}})
	return got.page, got.err
}

// do makes the call directly, and by way of another box if that fails or takes too long. While
// the direct way is believed to fail, the other goes first.
func (d *Detour) do(ctx context.Context, what ask) result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRace(ctx, d, what)
	if d.bad() {
		if got, ok := r.around(); ok {
			return got
		}
	}
	if !r.tried {
		r.direct()
	}
	got, ok := r.word(what.direct)
	switch {
	case ok:
		return got
	case r.pending > 0:
		return r.finish()
	}
	if other, ok := r.around(); ok {
		return other
	}
	return r.last
}

// answered wakes the calls that are not answered: the log answers others.
func (d *Detour) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard != nil {
		close(d.heard)
		d.heard = nil
	}
}

// next is closed at the next answer of a direct call.
func (d *Detour) next() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard == nil {
		d.heard = make(chan struct{})
	}
	return d.heard
}

// via makes the call by way of the box.
func (d *Detour) via(ctx context.Context, box work.Box, make call) result {
	got := make(ctx, d.others.Via(box), false)
	got.way = box
	if away(got.err) {
		d.shun(box)
		return got
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used = box
	return got
}

// shun has no call go by way of the box for a while.
func (d *Detour) shun(box work.Box) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.used == box {
		d.used = work.Box{}
	}
	d.avoid[box.Name] = time.Now().Add(avoidFor)
}

// away reports that a call failed for want of the log, not by the log's own word.
func away(err error) bool {
	if err == nil {
		return false
	}
	return fault.Is(err, fault.LogUnavailable) || fault.Is(err, fault.PeerLost) || fault.Is(err, fault.Protocol)
}

func (d *Detour) bad() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.badUntil)
}

func (d *Detour) good(err error) {
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.badUntil.IsZero() {
		d.badUntil, d.badNext = time.Time{}, 0
		d.logger.Info("detour: log reached directly again")
	}
}

func (d *Detour) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.badUntil.IsZero() {
		d.logger.Warn("detour: log not reached directly", "cause", err)
	}
	if now.Before(d.badUntil) {
		return // calls that began before tell nothing new
	}
	d.badNext = min(max(2*d.badNext, badFor), badMost)
	d.badUntil = now.Add(d.badNext)
}

// choose returns the box that served last, or any other that lives.
func (d *Detour) choose() (work.Box, bool) {
	boxes := d.others.Others()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for name, until := range d.avoid {
		if now.After(until) {
			delete(d.avoid, name)
		}
	}
	if len(d.avoid) >= hopeless {
		return work.Box{}, false
	}
	at, seen := -1, 0
	for i, box := range boxes {
		if box == d.used {
			return box, true
		}
		if _, failed := d.avoid[box.Name]; failed {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			at = i
		}
	}
	if at < 0 {
		return work.Box{}, false
	}
	return boxes[at], true
}

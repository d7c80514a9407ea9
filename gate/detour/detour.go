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
	// badFor is how long calls take the detour first after a direct one failed.
	badFor = time.Second
	// avoidFor is how long a box is not asked again after the detour failed there.
	avoidFor = 600 * time.Millisecond
	// hopeless is the number of such boxes from which the log counts as away for all.
	hopeless = 3
	// tries bounds the boxes that one call is made by way of.
	tries = 2
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error
	Newest(ctx context.Context, shard work.Shard, each func(work.Record)) (next int64, err error)
	Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error)
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	Leave(ctx context.Context, member string) error
	Members(ctx context.Context) ([]string, error)
}

// Others are the boxes that may be asked.
type Others interface {
	// Others returns the living boxes without this one.
	Others() []work.Box
	// Via returns the log by way of a box.
	Via(box work.Box) Log
}

// Detour is the log, reached in one way or the other.
type Detour struct {
	direct Log
	others Others
	logger *slog.Logger

	mu sync.Mutex
	// badUntil is until when direct calls are believed to fail.
	badUntil time.Time
	// avoid holds the boxes that failed a detour, until when they are not asked.
	avoid map[string]time.Time
	// used is the box that served the last detour.
	used work.Box
}

// New makes a detour that has not been needed yet.
func New(direct Log, others Others, logger *slog.Logger) *Detour {
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

// call is one of the calls of the log.
type call func(ctx context.Context, log Log) result

// Append implements the log. The same writer and number may go both ways: the log does it once.
func (d *Detour) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	return d.do(ctx, patience, func(ctx context.Context, log Log) result {
		return result{err: log.Append(ctx, shard, writer, recs)}
	}).err
}

// Join implements the log.
func (d *Detour) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	got := d.do(ctx, patience, func(ctx context.Context, log Log) result {
		generation, err := log.Join(ctx, member, generation, ttl)
		return result{generation: generation, err: err}
	})
	return got.generation, got.err
}

// Leave implements the log.
func (d *Detour) Leave(ctx context.Context, member string) error {
	return d.do(ctx, patience, func(ctx context.Context, log Log) result {
		return result{err: log.Leave(ctx, member)}
	}).err
}

// Members implements the log.
func (d *Detour) Members(ctx context.Context) ([]string, error) {
	got := d.do(ctx, patience, func(ctx context.Context, log Log) result {
		members, err := log.Members(ctx)
		return result{members: members, err: err}
	})
	return got.members, got.err
}

// Newest implements the log.
func (d *Detour) Newest(ctx context.Context, shard work.Shard, each func(work.Record)) (int64, error) {
	got := d.do(ctx, 2*patience, func(ctx context.Context, log Log) result {
		var page work.Page
		next, err := log.Newest(ctx, shard, func(rec work.Record) { page.Records = append(page.Records, rec) })
		page.Next = next
		return result{page: page, err: err}
	})
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
	got := d.do(ctx, wait+patience, func(ctx context.Context, log Log) result {
		page, err := log.Read(ctx, shard, from, wait)
		return result{page: page, err: err}
	})
	return got.page, got.err
}

// do makes the call directly, and by way of another box if that fails or takes too long.
func (d *Detour) do(ctx context.Context, patience time.Duration, make call) result {
	if d.bad() {
		if got, ok := d.around(ctx, make); ok {
			return got
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := d.start(ctx, make)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case got := <-results:
		if !away(got.err) || ctx.Err() != nil {
			d.good(got.err)
			return got
		}
		d.failed(got.err)
		return d.second(ctx, make, got)
	case <-timer.C:
		return d.beside(ctx, make, results)
	}
}

// start makes the direct call in the background.
func (d *Detour) start(ctx context.Context, make call) chan result {
	results := newResults()
	go func() {
		results <- make(ctx, d.direct)
	}()
	return results
}

func newResults() chan result {
	return make(chan result, 2)
}

// second tries the detour after a direct call failed.
func (d *Detour) second(ctx context.Context, make call, first result) result {
	if got, ok := d.around(ctx, make); ok {
		return got
	}
	return first
}

// around makes the call by way of other boxes until one gets the log's word.
func (d *Detour) around(ctx context.Context, make call) (result, bool) {
	for range tries {
		box, ok := d.choose()
		if !ok || ctx.Err() != nil {
			return result{}, false
		}
		if got := d.via(ctx, box, make); !away(got.err) {
			return got, true
		}
	}
	return result{}, false
}

// beside tries the detour beside a direct call that takes long.
func (d *Detour) beside(ctx context.Context, make call, results chan result) result {
	box, ok := d.choose()
	if !ok {
		return <-results
	}
	go func() { results <- d.via(ctx, box, make) }()
	first := <-results
	if !away(first.err) {
		if first.way.Name != "" {
			d.failed(fault.Fail(fault.LogUnavailable, "the log does not answer"))
		}
		return first
	}
	return <-results
}

// via makes the call by way of the box.
func (d *Detour) via(ctx context.Context, box work.Box, make call) result {
	got := make(ctx, d.others.Via(box))
	got.way = box
	d.mu.Lock()
	defer d.mu.Unlock()
	if away(got.err) {
		d.used = work.Box{}
		d.avoid[box.Name] = time.Now().Add(avoidFor)
	} else {
		d.used = box
	}
	return got
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
		d.badUntil = time.Time{}
		d.logger.Info("detour: log reached directly again")
	}
}

func (d *Detour) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.badUntil.IsZero() {
		d.logger.Warn("detour: log not reached directly", "cause", err)
	}
	d.badUntil = time.Now().Add(badFor)
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

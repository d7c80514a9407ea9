package detour

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// hopeless is the number of boxes that say they don't reach the log either from which it
	// counts as away for all.
	hopeless = 3
	// tries bounds the boxes that one call is made by way of, one after the other.
	tries = 2
	// otherPatience is how long a call by way of another box may take before the next is tried.
	// Many boxes share its way when the log turns some away, and a call has two ways to go.
	otherPatience = 2 * patience
	// doubtWait bounds the wait for news by a way that may hang: that of another box, or one's
	// own after it has failed. Such a way is left after doubtWait and patience: together with the
	// pause between reads that is well below the time for which a replica that leaves serves on,
	// and in which a change must be in force.
	doubtWait = 200 * time.Millisecond
	// joinAgain is the time between two heartbeats sent while the first is not answered: what
	// was sent into a silent log is lost, and the first answer shows that the log is back.
	joinAgain = 250 * time.Millisecond
	// maxAnew bounds how often one call is sent again directly.
	maxAnew = 4
)

// Proxies are the boxes that may be asked.
type Proxies interface {
	// Boxes returns the living boxes without this one.
	Boxes() []work.Box
	// LogVia returns the log by way of a box.
	LogVia(box work.Box) work.Log
}

// Detour is the log, reached in one way or the other.
type Detour struct {
	direct work.Log
	others Proxies
	logger *slog.Logger

	mu sync.Mutex
	// badUntil is until when direct calls are believed to fail; zero while they don't. badNext
	// is for how long that is believed after the next failure.
	badUntil time.Time
	badNext  time.Duration
	// avoid holds the boxes that failed a detour.
	avoid map[string]avoided
	// used is the box that served the last detour.
	used work.Box
	// silent says that a direct call has not been answered in time, and none since.
	silent bool
	// heard is closed at the next answer of a direct call; nil while nobody waits for one.
	heard chan struct{}
}

// avoided is a box that is asked only if no other is left.
type avoided struct {
	until time.Time
	// without says that the box has no way to the log; otherwise it was slow or hangs.
	without bool
}

// New makes a detour that has not been needed yet.
func New(direct work.Log, others Proxies, logger *slog.Logger) *Detour {
	return &Detour{direct: direct, others: others, logger: logger, avoid: map[string]avoided{}}
}

// result is the end of one call; which fields hold something depends on the call.
type result struct {
	page       work.Page
	batch      work.Batch
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
	// ownIn is how long the direct way may take before another is tried beside it, otherIn the
	// same for the way by another box.
	ownIn, otherIn time.Duration
	// again is the time after which the call is sent directly once more while nothing answers;
	// zero sends it again only once another call was answered.
	again time.Duration
}

// Append implements the log. The same writer and number may go both ways: the log does it once.
func (d *Detour) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	return d.do(ctx, ask{ownIn: patience, otherIn: otherPatience, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Append(ctx, shard, writer, recs)}
	}}).err
}

// Join implements the log. A heartbeat has little time: the box by whose way it goes is left
// for the next as soon as the direct way.
func (d *Detour) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	got := d.do(ctx, ask{ownIn: patience, otherIn: patience, again: joinAgain, make: func(ctx context.Context, log work.Log, _ bool) result {
		generation, err := log.Join(ctx, member, generation, ttl)
		return result{generation: generation, err: err}
	}})
	return got.generation, got.err
}

// Leave implements the log.
func (d *Detour) Leave(ctx context.Context, member string) error {
	return d.do(ctx, ask{ownIn: patience, otherIn: otherPatience, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Leave(ctx, member)}
	}}).err
}

// Members implements the log.
func (d *Detour) Members(ctx context.Context) ([]string, error) {
	got := d.do(ctx, ask{ownIn: patience, otherIn: otherPatience, make: func(ctx context.Context, log work.Log, _ bool) result {
		members, err := log.Members(ctx)
		return result{members: members, err: err}
	}})
	return got.members, got.err
}

// Newest implements the log. Each answer of a long shard is a call of its own: read in one, a shard that takes a box with
// a slow link longer than the direct way may would be read twice over that link at once, and never end.
func (d *Detour) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	got := d.do(ctx, ask{ownIn: 2 * patience, otherIn: otherPatience, make: func(ctx context.Context, log work.Log, _ bool) result {
		batch, err := log.Newest(ctx, shard, after)
		return result{batch: batch, err: err}
	}})
	return got.batch, got.err
}

// Read implements the log.
func (d *Detour) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	own, other := wait, min(wait, doubtWait)
	if d.doubted() {
		own = other
	}
	got := d.do(ctx, ask{ownIn: own + patience, otherIn: other + patience, make: func(ctx context.Context, log work.Log, direct bool) result {
		news := other
		if direct {
			news = own
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
		if got, ok := r.word(what.ownIn); ok {
			return got
		}
	}
	if r.pending > 0 {
		d.unanswered()
		return r.finish()
	}
	if got, ok := r.around(); ok {
		return got
	}
	return r.last
}

// unanswered notes that a direct call takes long.
func (d *Detour) unanswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
}

// answered wakes the calls that are not answered: the log answers others.
func (d *Detour) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
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
	got := make(ctx, d.others.LogVia(box), false)
	got.way = box
	switch {
	case !away(got.err):
		d.use(box)
	case ctx.Err() == nil: // otherwise another way was faster, which says nothing of this one
		d.shun(box, true)
	}
	return got
}

// use has calls go by way of the box as long as it serves.
func (d *Detour) use(box work.Box) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used = box
	delete(d.avoid, box.Name)
}

// shun has calls go by way of other boxes for a while. Without says that the box does not reach
// the log.
func (d *Detour) shun(box work.Box, without bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.used == box {
		d.used = work.Box{}
	}
	d.avoid[box.Name] = avoided{until: time.Now().Add(avoidFor), without: without}
}

// away reports that a call failed for want of the log, not by the log's own word.
func away(err error) bool {
	if err == nil {
		return false
	}
	return fault.Is(err, fault.LogUnavailable) || fault.Is(err, fault.PeerUnreachable) || fault.Is(err, fault.Protocol)
}

func (d *Detour) bad() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.badUntil)
}

// doubted reports that the direct way has failed or hung and has not been seen to work since.
func (d *Detour) doubted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent || !d.badUntil.IsZero()
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

// choose returns the box that served last, or draws one of the others that live: one that was
// slow only if none is left, and none that is among those asked before.
func (d *Detour) choose(asked []work.Box) (work.Box, bool) {
	boxes := d.others.Boxes()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awayForAll(time.Now()) {
		return work.Box{}, false
	}
	var sound, slow []work.Box
	for _, box := range boxes {
		failed, ok := d.avoid[box.Name]
		switch {
		case slices.Contains(asked, box):
		case box == d.used:
			return box, true
		case !ok:
			sound = append(sound, box)
		case !failed.without:
			slow = append(slow, box)
		}
	}
	if len(sound) == 0 {
		sound = slow
	}
	if len(sound) == 0 {
		return work.Box{}, false
	}
	return sound[rand.IntN(len(sound))], true
}

// awayForAll forgets what is no longer avoided and reports whether so many boxes are without
// the log that asking more of them is idle.
func (d *Detour) awayForAll(now time.Time) bool {
	without := 0
	for name, failed := range d.avoid {
		switch {
		case now.After(failed.until):
			delete(d.avoid, name)
		case failed.without:
			without++
		}
	}
	return without >= hopeless
}

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
	// hedgeDelay is how long a direct call may take before another box is tried concurrently. Even a slow log
	// responds within it.
	hedgeDelay = 450 * time.Millisecond
	// minBackoff is how long calls try other boxes first after a direct call failed. It doubles with each
	// failure up to maxBackoff, since each direct attempt may delay a call by hedgeDelay.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// avoidTime is how long a box is avoided after a call through it failed.
	avoidTime = 600 * time.Millisecond
	// outageBoxes is the number of other boxes that must be unable to reach the log before that counts as an
	// outage for all.
	outageBoxes = 3
	// maxProxies bounds the boxes through which one call is tried one after the other.
	maxProxies = 2
	// proxyHedgeDelay is how long a call through another box may take before the next is tried. It takes two
	// hops, and the other box may serve many others.
	proxyHedgeDelay = 2 * hedgeDelay
	// doubtfulReadWait bounds how long a read waits for new records on a path that may hang: through another
	// box, or directly after a failure. A hanging path is abandoned after doubtfulReadWait plus hedgeDelay,
	// which must be well below the time within which changes must take effect.
	doubtfulReadWait = 200 * time.Millisecond
	// heartbeatResend is the interval at which an unanswered heartbeat is sent again. Requests sent during an
	// outage are lost, so that only a new one shows that the log has recovered.
	heartbeatResend = 250 * time.Millisecond
	// maxResends bounds how often one call is sent again directly.
	maxResends = 4
)

// Proxies provides the boxes through which the log may be called.
type Proxies interface {
	// Boxes returns the live boxes that may be used, without this one.
	Boxes() []work.Box
	// LogVia returns the log as reached through the box.
	LogVia(box work.Box) work.Log
}

// Detour is a work.Log that is reached directly or through other boxes.
type Detour struct {
	direct  work.Log
	proxies Proxies
	logger  *slog.Logger

	mu sync.Mutex
	// backoffUntil is until when calls try other boxes first; zero while direct calls work. backoff is the
	// length of the current or last backoff.
	backoffUntil time.Time
	backoff      time.Duration
	// failedProxies holds by name the boxes through which a call failed recently.
	failedProxies map[string]failedProxy
	// preferred is the box through which a call reached the log last; zero if none.
	preferred work.Box
	// directHangs is set if a direct call got no response in time, and none has got one since.
	directHangs bool
	// answered is closed at the next response to a direct call; nil while nothing waits for it.
	answered chan struct{}
}

// failedProxy is a box through which a call failed. It is avoided until the given time.
type failedProxy struct {
	until time.Time
	// noLog is set if the box can't reach the log either. Otherwise it is slow or hangs, and is used if no
	// other box is left.
	noLog bool
}

// New returns a detour that calls the log directly until that fails.
func New(direct work.Log, proxies Proxies, logger *slog.Logger) *Detour {
	return &Detour{direct: direct, proxies: proxies, logger: logger, failedProxies: map[string]failedProxy{}}
}

// result is the result of one attempt at a call. Which fields are set depends on the operation.
type result struct {
	page       work.Page
	batch      work.Batch
	generation int64
	members    []string
	err        error
	// proxy is the box through which the call went; zero for a direct call.
	proxy work.Box
}

func (r result) isDirect() bool {
	return r.proxy.Name == ""
}

// operation performs one operation on the log. direct is set if log is not reached through another box.
type operation func(ctx context.Context, log work.Log, direct bool) result

// request is an operation with the delays after which further paths are tried.
type request struct {
	make operation
	// directDelay is how long the direct path may take before another is tried concurrently; proxyDelay is the
	// same for a path through another box.
	directDelay, proxyDelay time.Duration
	// resendInterval is the interval at which the call is sent directly again while there is no response; if
	// zero, it is sent again only when another direct call is answered.
	resendInterval time.Duration
}

// Append implements work.Log. Several paths may deliver the same append; the log applies it once, as it has
// the same writer and number.
func (d *Detour) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	return d.do(ctx, request{directDelay: hedgeDelay, proxyDelay: proxyHedgeDelay, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Append(ctx, shard, writer, recs)}
	}}).err
}

// Join implements work.Log. A heartbeat has little time, so another box gets no longer than the direct path.
func (d *Detour) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	got := d.do(ctx, request{directDelay: hedgeDelay, proxyDelay: hedgeDelay, resendInterval: heartbeatResend, make: func(ctx context.Context, log work.Log, _ bool) result {
		generation, err := log.Join(ctx, member, generation, ttl)
		return result{generation: generation, err: err}
	}})
	return got.generation, got.err
}

// Leave implements work.Log.
func (d *Detour) Leave(ctx context.Context, member string) error {
	return d.do(ctx, request{directDelay: hedgeDelay, proxyDelay: proxyHedgeDelay, make: func(ctx context.Context, log work.Log, _ bool) result {
		return result{err: log.Leave(ctx, member)}
	}}).err
}

// Members implements work.Log.
func (d *Detour) Members(ctx context.Context) ([]string, error) {
	got := d.do(ctx, request{directDelay: hedgeDelay, proxyDelay: proxyHedgeDelay, make: func(ctx context.Context, log work.Log, _ bool) result {
		members, err := log.Members(ctx)
		return result{members: members, err: err}
	}})
	return got.members, got.err
}

// Newest implements work.Log. Since each call reads only one batch of a shard, even a box with a slow link
// usually gets a batch before directDelay ends, and does not read it twice concurrently.
func (d *Detour) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	got := d.do(ctx, request{directDelay: 2 * hedgeDelay, proxyDelay: proxyHedgeDelay, make: func(ctx context.Context, log work.Log, _ bool) result {
		batch, err := log.Newest(ctx, shard, after)
		return result{batch: batch, err: err}
	}})
	return got.batch, got.err
}

// Read implements work.Log.
func (d *Detour) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	directWait, proxyWait := wait, min(wait, doubtfulReadWait)
	if d.directDoubtful() {
		directWait = proxyWait
	}
	got := d.do(ctx, request{directDelay: directWait + hedgeDelay, proxyDelay: proxyWait + hedgeDelay, make: func(ctx context.Context, log work.Log, direct bool) result {
		newsWait := proxyWait
		if direct {
			newsWait = directWait
		}
		page, err := log.Read(ctx, shard, from, newsWait)
		return result{page: page, err: err}
	}})
	return got.page, got.err
}

// do makes the call directly, and through other boxes if that fails or takes too long. During a backoff other
// boxes are tried first.
func (d *Detour) do(ctx context.Context, req request) result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRace(ctx, d, req)
	if d.inBackoff() {
		if got, ok := r.tryProxies(); ok {
			return got
		}
	}
	if !r.triedDirect {
		r.sendDirect()
		if got, ok := r.await(req.directDelay); ok {
			return got
		}
	}
	if r.pending > 0 {
		d.noteNoAnswer()
		return r.awaitSlowDirect()
	}
	if got, ok := r.tryProxies(); ok {
		return got
	}
	return r.lastFailure
}

// noteNoAnswer records that a direct call got no response in time.
func (d *Detour) noteNoAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directHangs = true
}

// noteAnswer records a response to a direct call and wakes the calls that wait for one, which are sent again.
func (d *Detour) noteAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directHangs = false
	if d.answered != nil {
		close(d.answered)
		d.answered = nil
	}
}

// nextAnswer returns a channel that is closed at the next response to a direct call.
func (d *Detour) nextAnswer() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answered == nil {
		d.answered = make(chan struct{})
	}
	return d.answered
}

// via makes the call through the box and records whether the box reaches the log.
func (d *Detour) via(ctx context.Context, box work.Box, op operation) result {
	got := op(ctx, d.proxies.LogVia(box), false)
	got.proxy = box
	switch {
	case !notReached(got.err):
		d.prefer(box)
	case ctx.Err() == nil: // otherwise the call has ended, which says nothing about the box
		d.avoid(box, true)
	}
	return got
}

// prefer has further calls that need another box go through this one until one fails.
func (d *Detour) prefer(box work.Box) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.preferred = box
	delete(d.failedProxies, box.Name)
}

// avoid has further calls avoid the box for avoidTime. noLog is set if the box can't reach the log.
func (d *Detour) avoid(box work.Box, noLog bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.preferred == box {
		d.preferred = work.Box{}
	}
	d.failedProxies[box.Name] = failedProxy{until: time.Now().Add(avoidTime), noLog: noLog}
}

// notReached reports whether a call failed because the log was not reached, rather than with a fault that the
// log returned.
func notReached(err error) bool {
	if err == nil {
		return false
	}
	return fault.Is(err, fault.LogUnavailable) || fault.Is(err, fault.PeerUnreachable) || fault.Is(err, fault.Protocol)
}

// inBackoff reports whether direct calls failed recently, so that other boxes are tried first.
func (d *Detour) inBackoff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.backoffUntil)
}

// directDoubtful reports whether the direct path failed or hung and has not worked since.
func (d *Detour) directDoubtful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directHangs || !d.backoffUntil.IsZero()
}

// noteDirectSuccess ends the backoff if err, the result of a direct call that reached the log, is nil.
func (d *Detour) noteDirectSuccess(err error) {
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.backoffUntil.IsZero() {
		d.backoffUntil, d.backoff = time.Time{}, 0
		d.logger.Info("detour: log directly reachable again")
	}
}

// noteDirectFailure starts a backoff after a direct call did not reach the log, unless one is in progress.
func (d *Detour) noteDirectFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.backoffUntil.IsZero() {
		d.logger.Warn("detour: cannot reach log directly", "cause", err)
	}
	if now.Before(d.backoffUntil) {
		return // already in backoff
	}
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	d.backoffUntil = now.Add(d.backoff)
}

// chooseProxy returns the preferred box or else a random one, a slow one only if no other is left. It skips
// boxes that were asked before or can't reach the log, and returns false if none is left or during an outage.
func (d *Detour) chooseProxy(asked []work.Box) (work.Box, bool) {
	boxes := d.proxies.Boxes()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.logOutage(time.Now()) {
		return work.Box{}, false
	}
	var usable, slow []work.Box
	for _, box := range boxes {
		failed, ok := d.failedProxies[box.Name]
		switch {
		case slices.Contains(asked, box):
		case box == d.preferred:
			return box, true
		case !ok:
			usable = append(usable, box)
		case !failed.noLog:
			slow = append(slow, box)
		}
	}
	if len(usable) == 0 {
		usable = slow
	}
	if len(usable) == 0 {
		return work.Box{}, false
	}
	return usable[rand.IntN(len(usable))], true
}

// logOutage drops expired entries and reports whether so many boxes can't reach the log that trying others
// is futile. d.mu must be held.
func (d *Detour) logOutage(now time.Time) bool {
	withoutLog := 0
	for name, failed := range d.failedProxies {
		switch {
		case now.After(failed.until):
			delete(d.failedProxies, name)
		case failed.noLog:
			withoutLog++
		}
	}
	return withoutLog >= outageBoxes
}

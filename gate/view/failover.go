package view

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// Contact is the result of an attempt to connect to a box.
type Contact string

const (
	// Answered means that the box accepted a connection. A slow process counts as alive, since its kernel
	// answers.
	Answered Contact = "answered"
	// Silent means that nothing came back in time: the box has no power, or the link is cut.
	Silent Contact = "silent"
	// Gone means that the box's host answered, but the process is not there: the connection was refused, or
	// another incarnation of the box responded.
	Gone Contact = "gone"
	// Unknown means that the asked box is unable to tell.
	Unknown Contact = "unknown"
)

const (
	// confirmTimeout bounds the confirmation of a failure: a caller's turn waits for it. Answers that are
	// missing by then do not count, so a slow box fails to confirm and never confirms in error.
	confirmTimeout = 150 * time.Millisecond
	// answerTime is how long the check of a live box usually takes at most. Only then witnesses are asked, and a
	// takeover is likely if they have not refuted the failure after the same time again. Otherwise each check of one
	// slow owner would come from eight boxes.
	answerTime = 20 * time.Millisecond
	// rejectedTTL is how long a failure that was not confirmed is not checked again, so that all turns for
	// a slow owner do not each cause a check. It doubles with each such result up to maxRejectedTTL, and starts anew
	// after rejectedReset without one.
	rejectedTTL    = 100 * time.Millisecond
	maxRejectedTTL = 2 * time.Second
	rejectedReset  = 2 * maxRejectedTTL
	// recheckInterval is the time between two checks of whether an unreachable box answers again. It is less
	// than unreachableBackoff, so that no turn is sent to a box that is still silent.
	recheckInterval = 200 * time.Millisecond
	// confirmedTTL is how long a takeover may start after a confirmation. Without it, one broken link would let this
	// box take slots over again and again from an owner that all others reach.
	confirmedTTL = time.Second
	// maxWitnesses bounds the boxes that are asked about one failure. In three availability zones it stands for
	// three boxes in each of the other zones and one in the zone of the suspect, so that with that zone cut off
	// a majority remains even if two witnesses are too slow to answer. No zone has more than maxZoneWitnesses, so that
	// one zone is no majority.
	maxWitnesses     = 7
	maxZoneWitnesses = 3
	// takeoverDuration estimates the time from the first failed call until a slot is taken over after a
	// confirmation: 150 ms to confirm and some calls to the log. minTakeoverRetry is the least delay after which a
	// caller is told to retry meanwhile.
	takeoverDuration = 350 * time.Millisecond
	minTakeoverRetry = 100 * time.Millisecond
)

// Prober checks from here or from another box whether a box can be reached.
type Prober interface {
	// Contact tries to connect to the box.
	Contact(ctx context.Context, box work.Box) Contact
	// AskContact asks the witness to try to connect to the box. It returns Unknown without an answer.
	AskContact(ctx context.Context, witness, box work.Box) Contact
}

// CutOff reports whether this box is cut off from the log and most boxes.
type CutOff interface {
	CutOff() bool
}

// Counts records metrics.
type Counts interface {
	Count(name string, n int64)
}

// Failover adds to a View the boxes that the log still lists, but that other boxes have confirmed to be
// unreachable. It decides only who may claim a slot early; the log's fence alone decides who owns it.
type Failover struct {
	*View
	regions work.Regions
	prober  Prober
	cutOff  CutOff
	counts  Counts
	ctx     context.Context
	cancel  context.CancelFunc
	checks  sync.WaitGroup

	// onRecovered holds the callbacks of OnRecovered.
	onRecovered []func(box work.Box)

	stateMu sync.Mutex
	stopped bool
	// confirmed holds the boxes whose failure was confirmed and that have not answered since, by name. Each of
	// them is in watched.
	confirmed map[string]confirmedFailure
	// watched holds the unreachable boxes that are checked periodically until they answer.
	watched map[work.Box]bool
	// confirming holds the confirmations in progress.
	confirming map[work.Box]*confirmation
	// rejections holds the boxes whose failure was recently not confirmed.
	rejections map[work.Box]rejection
}

// confirmation is a check of a box in progress.
type confirmation struct {
	// doubted is closed if neither the box nor the witnesses have refuted the failure for some time, done at the end.
	doubted, done chan struct{}
}

// confirmedFailure is a box whose failure was confirmed, and when it was last.
type confirmedFailure struct {
	box work.Box
	at  time.Time
}

// rejection is when the failure of a box was last not confirmed, and how long it is not checked again.
type rejection struct {
	at  time.Time
	ttl time.Duration
}

// next returns the rejection that follows r.
func (r rejection) next() rejection {
	ttl := rejectedTTL
	if r.ttl > 0 && time.Since(r.at) < rejectedReset {
		ttl = min(2*r.ttl, maxRejectedTTL)
	}
	return rejection{at: time.Now(), ttl: ttl}
}

// NewFailover returns a Failover that adds to v.
func NewFailover(v *View, regions work.Regions, prober Prober, cutOff CutOff, counts Counts) *Failover {
	ctx, cancel := context.WithCancel(context.Background())
	return &Failover{
		View: v, regions: regions, prober: prober, cutOff: cutOff, counts: counts, ctx: ctx, cancel: cancel,
		confirmed: map[string]confirmedFailure{}, watched: map[work.Box]bool{}, confirming: map[work.Box]*confirmation{}, rejections: map[work.Box]rejection{},
	}
}

// OnRecovered registers a callback that runs after a box whose failure was confirmed has answered again. It must
// be called before Start.
func (f *Failover) OnRecovered(callback func(box work.Box)) {
	f.onRecovered = append(f.onRecovered, callback)
}

// Start implements kernel.Service.
func (f *Failover) Start(context.Context) error { return nil }

// Stop ends all checks.
func (f *Failover) Stop(context.Context) error {
	f.stateMu.Lock()
	f.stopped = true
	f.stateMu.Unlock()
	f.cancel()
	f.checks.Wait()
	return nil
}

// Failed reports whether the failure of the box has been confirmed and neither the box has answered since nor a later
// check has refuted it. A claim that has started may go on.
func (f *Failover) Failed(box work.Box) bool {
	_, ok := f.failedSince(box)
	return ok
}

// FailedRecently reports whether Failed was confirmed within confirmedTTL, so that a takeover may start.
func (f *Failover) FailedRecently(box work.Box) bool {
	at, ok := f.failedSince(box)
	return ok && time.Since(at) < confirmedTTL
}

// failedSince returns when the failure of the box was last confirmed; false if it has not failed.
func (f *Failover) failedSince(box work.Box) (time.Time, bool) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	have, ok := f.confirmed[box.Name]
	return have.at, ok && have.box.Incarnation == box.Incarnation
}

// MarkUnreachable records that a call failed to reach the box. RecentlyUnreachable then holds until the box
// answers. For a box of another region it holds for unreachableBackoff, since a round trip may take longer than a check.
func (f *Failover) MarkUnreachable(box work.Box) {
	f.View.MarkUnreachable(box)
	if f.isNear(box) {
		f.watch(box, recheckInterval)
	}
}

// isNear reports whether the box is in the region of this one.
func (f *Failover) isNear(box work.Box) bool {
	return f.regions[box.Zone] == f.regions[f.self.Zone]
}

// Confirm checks those of the boxes whose failure was not confirmed recently, and returns once all checks have
// ended or ctx has. Afterwards FailedRecently reports the result. It calls likely once if one of the boxes has not answered
// for so long that its failure is likely to be confirmed.
func (f *Failover) Confirm(ctx context.Context, boxes []work.Box, likely func()) {
	var once sync.Once
	for _, c := range f.startConfirming(boxes) {
		select {
		case <-c.doubted:
			once.Do(likely)
		case <-c.done:
		case <-ctx.Done():
			return
		}
		select {
		case <-c.done:
		case <-ctx.Done():
			return
		}
	}
}

// startConfirming starts a confirmation for each box that needs one, and returns those in progress. Concurrent callers
// share a confirmation.
func (f *Failover) startConfirming(boxes []work.Box) []*confirmation {
	var all []*confirmation
	for _, named := range boxes {
		box, ok := f.listed(named) // the address in another box's message may be wrong
		if !ok || f.FailedRecently(box) || !f.mayConfirm(box) {
			continue
		}
		f.stateMu.Lock()
		c := f.confirming[box]
		if c == nil && !f.stopped && time.Since(f.rejections[box].at) >= f.rejections[box].ttl {
			c = &confirmation{doubted: make(chan struct{}), done: make(chan struct{})}
			f.confirming[box] = c
			f.checks.Go(func() { f.confirm(box, c) })
		}
		f.stateMu.Unlock()
		if c != nil {
			all = append(all, c)
		}
	}
	return all
}

// mayConfirm reports whether this box may confirm a failure of the given one: it knows the current fleet and log,
// the other box is listed with this incarnation, and is near enough for the short timeouts.
func (f *Failover) mayConfirm(box work.Box) bool {
	if box.Name == f.self.Name || !f.isNear(box) {
		return false
	}
	return f.inContact() && f.lists(box)
}

// inContact reports whether this box is settled, in contact with the log and not cut off.
func (f *Failover) inContact() bool {
	return f.Settled() && f.Fresh() && !f.cutOff.CutOff()
}

// lists reports whether the box is live in this incarnation.
func (f *Failover) lists(box work.Box) bool {
	_, ok := f.listed(box)
	return ok
}

// listed returns the box as the log lists it; false if it is not live in this incarnation.
func (f *Failover) listed(box work.Box) (work.Box, bool) {
	live := f.Live()
	i := slices.IndexFunc(live, func(have work.Box) bool {
		return have.Name == box.Name && have.Incarnation == box.Incarnation
	})
	if i < 0 {
		return work.Box{}, false
	}
	return live[i], true
}

// confirm checks one box and records the result.
func (f *Failover) confirm(box work.Box, c *confirmation) {
	ctx, stop := context.WithTimeout(f.ctx, confirmTimeout)
	defer stop()
	start := time.Now()
	got := f.poll(ctx, box, c.doubted)
	// The state may have changed during the poll.
	failed := got.confirms() && f.mayConfirm(box)
	f.stateMu.Lock()
	delete(f.confirming, box)
	refuted := !failed && f.confirmed[box.Name].box == box && got.refutes()
	if refuted {
		delete(f.confirmed, box.Name)
	}
	maps.DeleteFunc(f.rejections, func(_ work.Box, last rejection) bool { return time.Since(last.at) > rejectedReset })
	if failed && !f.stopped {
		f.confirmed[box.Name] = confirmedFailure{box: box, at: time.Now()}
	} else {
		f.rejections[box] = f.rejections[box].next()
	}
	f.stateMu.Unlock()
	if failed {
		f.counts.Count("view.failures_confirmed", 1)
		f.logger.Warn("view: failure of a box confirmed", "other", box.Name, "contact", got.own, "unreached", got.unreached, "asked", got.asked, "took", time.Since(start))
		// The forwarding box has watched it for longer. If the box answers again, it should learn which slots it lost
		// before it gets their turns.
		f.View.MarkUnreachable(box)
		f.watch(box, recheckInterval-time.Since(start))
	} else {
		f.counts.Count("view.failures_not_confirmed", 1)
		f.logger.Info("view: failure of a box not confirmed", "other", box.Name, "contact", got.own, "unreached", got.unreached, "asked", got.asked, "took", time.Since(start))
	}
	if refuted {
		f.notifyRecovered(box)
	}
	close(c.done)
}

// watch checks the box periodically until it answers or the log no longer lists this incarnation of it. The first check
// comes after the given time.
func (f *Failover) watch(box work.Box, first time.Duration) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if f.watched[box] || f.stopped {
		return
	}
	f.watched[box] = true
	f.checks.Go(func() {
		for wait := first; f.stillUnreachable(box, wait); wait = recheckInterval {
			f.View.MarkUnreachable(box)
		}
		f.unwatch(box)
	})
}

// stillUnreachable waits for the given time and reports whether the box does not answer then.
func (f *Failover) stillUnreachable(box work.Box, wait time.Duration) bool {
	select {
	case <-time.After(wait):
	case <-f.ctx.Done():
		return false
	}
	if !f.lists(box) {
		return false
	}
	got := f.prober.Contact(f.ctx, box)
	return f.ctx.Err() == nil && got != Answered
}

// unwatch ends the checks of a box, and its confirmed failure.
func (f *Failover) unwatch(box work.Box) {
	f.stateMu.Lock()
	delete(f.watched, box)
	wasConfirmed := f.confirmed[box.Name].box == box
	if wasConfirmed {
		delete(f.confirmed, box.Name)
	}
	f.stateMu.Unlock()
	if wasConfirmed && f.ctx.Err() == nil {
		f.notifyRecovered(box)
	}
}

// notifyRecovered runs the callbacks after a failure is over, if the box is still listed.
func (f *Failover) notifyRecovered(box work.Box) {
	listed := f.lists(box)
	f.logger.Info("view: failure of a box is over", "other", box.Name, "listed", listed)
	if !listed {
		return
	}
	for _, callback := range f.onRecovered {
		callback(box)
	}
}

// TakeoverIn estimates how long it takes until a slot of the box has another owner; see View.TakeoverIn. Soon
// after the first failed call a takeover after a confirmed failure is likely.
func (f *Failover) TakeoverIn(box work.Box) time.Duration {
	if since, ok := f.failingSince(box); ok && f.mayConfirm(box) {
		if left := takeoverDuration - time.Since(since); left > 0 {
			return max(left, minTakeoverRetry)
		}
	}
	return f.View.TakeoverIn(box)
}

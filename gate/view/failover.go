package view

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/ident"
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
	// Unknown means that the asked box is not in a position to judge.
	Unknown Contact = "unknown"
)

const (
	// confirmTimeout bounds the confirmation of a failure: a caller's turn waits for it. Answers that are
	// missing by then do not count, so a slow box fails to confirm and never confirms in error.
	confirmTimeout = 150 * time.Millisecond
	// answerTime is how long the check of a live box usually takes at most. A takeover is likely if it takes longer.
	answerTime = 20 * time.Millisecond
	// rejectedTTL is how long a failure that was not confirmed is not checked again, so that all turns for
	// a slow owner do not each cause a check.
	rejectedTTL = 100 * time.Millisecond
	// recheckInterval is the time between two checks of whether an unreachable box answers again. It is less
	// than unreachableBackoff, so that no turn is sent to a box that is still silent.
	recheckInterval = 200 * time.Millisecond
	// maxWitnesses bounds the boxes that are asked about one failure. In three availability zones it stands for
	// three boxes in each of the other zones and one in the zone of the suspect, so that with that zone cut off
	// a majority remains even if two witnesses are too slow to answer.
	maxWitnesses = 7
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
	confirmed map[string]work.Box
	// watched holds the unreachable boxes that are checked periodically until they answer.
	watched map[work.Box]bool
	// confirming holds the confirmations in progress.
	confirming map[work.Box]*confirmation
	// rejectedAt holds when the failure of a box was last not confirmed.
	rejectedAt map[work.Box]time.Time
}

// confirmation is a check of a box in progress.
type confirmation struct {
	// doubted is closed if the box has not answered this one within answerTime, done at the end.
	doubted, done chan struct{}
}

// NewFailover returns a Failover that adds to v.
func NewFailover(v *View, regions work.Regions, prober Prober, cutOff CutOff, counts Counts) *Failover {
	ctx, cancel := context.WithCancel(context.Background())
	return &Failover{
		View: v, regions: regions, prober: prober, cutOff: cutOff, counts: counts, ctx: ctx, cancel: cancel,
		confirmed: map[string]work.Box{}, watched: map[work.Box]bool{}, confirming: map[work.Box]*confirmation{}, rejectedAt: map[work.Box]time.Time{},
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

// Failed reports whether the failure of the box has been confirmed and the box has not answered since.
func (f *Failover) Failed(box work.Box) bool {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	have, ok := f.confirmed[box.Name]
	return ok && have.Incarnation == box.Incarnation
}

// MarkUnreachable records that a call failed to reach the box. RecentlyUnreachable then holds until the box
// answers.
func (f *Failover) MarkUnreachable(box work.Box) {
	f.View.MarkUnreachable(box)
	f.watch(box)
}

// Confirm checks those of the boxes whose failure is not confirmed yet, and returns once all checks have
// ended or ctx has. Afterwards Failed reports the result. It calls likely once if one of the boxes has not answered
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
	for _, box := range boxes {
		if f.Failed(box) || !f.mayJudge(box) {
			continue
		}
		f.stateMu.Lock()
		c := f.confirming[box]
		if c == nil && !f.stopped && time.Since(f.rejectedAt[box]) >= rejectedTTL {
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

// mayJudge reports whether this box may confirm a failure of the given one: it knows the current fleet and log,
// the other box is listed with this incarnation, and is near enough for the short timeouts.
func (f *Failover) mayJudge(box work.Box) bool {
	if box.Name == f.self.Name || f.regions[box.Zone] != f.regions[f.self.Zone] {
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
	return slices.ContainsFunc(f.Live(), func(have work.Box) bool {
		return have.Name == box.Name && have.Incarnation == box.Incarnation
	})
}

// confirm checks one box and records the result.
func (f *Failover) confirm(box work.Box, c *confirmation) {
	ctx, stop := context.WithTimeout(f.ctx, confirmTimeout)
	defer stop()
	start := time.Now()
	own, unreached, asked := f.poll(ctx, box, c.doubted)
	// The state may have changed during the poll.
	failed := confirmsFailure(own, unreached, asked) && f.mayJudge(box)
	f.stateMu.Lock()
	delete(f.confirming, box)
	maps.DeleteFunc(f.rejectedAt, func(_ work.Box, at time.Time) bool { return time.Since(at) > rejectedTTL })
	if failed && !f.stopped {
		f.confirmed[box.Name] = box
	} else {
		f.rejectedAt[box] = time.Now()
	}
	f.stateMu.Unlock()
	if failed {
		f.counts.Count("view.failures_confirmed", 1)
		f.logger.Warn("view: failure of a box confirmed", "other", box.Name, "contact", own, "unreached", unreached, "asked", asked, "took", time.Since(start))
		f.MarkUnreachable(box)
	} else {
		f.counts.Count("view.failures_not_confirmed", 1)
		f.logger.Info("view: failure of a box not confirmed", "other", box.Name, "contact", own, "unreached", unreached, "asked", asked, "took", time.Since(start))
	}
	close(c.done)
}

// confirmsFailure reports whether a failure is confirmed: this box does not reach the suspect, and neither does
// a majority of the asked boxes, of which those without an answer count as reaching it. If there was none to
// ask, only a box whose process is certainly gone counts as failed, since the link to it may be broken.
func confirmsFailure(own Contact, unreached, asked int) bool {
	if asked == 0 {
		return own == Gone
	}
	return (own == Gone || own == Silent) && 2*unreached > asked
}

// poll tries to connect to the suspect and asks the witnesses to, concurrently. It returns this box's own
// result, the number of witnesses that do not reach the suspect and the number of witnesses asked. It ends early
// once the result is certain, and closes doubted if the suspect has not answered within answerTime.
func (f *Failover) poll(ctx context.Context, box work.Box, doubted chan struct{}) (own Contact, unreached, asked int) {
	witnesses := chooseWitnesses(f.Live(), f.self, box, f.regions)
	asked = len(witnesses)
	answers := make(chan Contact, asked)
	ownAnswer := make(chan Contact, 1)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { ownAnswer <- f.prober.Contact(ctx, box) }()
	for _, witness := range witnesses {
		go func() { answers <- f.prober.AskContact(ctx, witness, box) }()
	}
	doubt := time.After(answerTime)
	own = Unknown
	for left := asked; own == Unknown || left > 0; {
		select {
		case own = <-ownAnswer:
			if own == Answered || own == Unknown {
				return own, unreached, asked
			}
		case got := <-answers:
			left--
			if got == Gone || got == Silent {
				unreached++
			}
		case <-doubt:
			close(doubted)
		case <-ctx.Done():
			return own, unreached, asked
		}
		if own != Unknown && confirmsFailure(own, unreached, asked) {
			return own, unreached, asked
		}
	}
	return own, unreached, asked
}

// chooseWitnesses returns the boxes to ask whether they reach the suspect: boxes of its region in all
// availability zones, but only one in its own, since that zone may be cut off as a whole. Fast boxes come first,
// as their answers arrive in time.
func chooseWitnesses(live []work.Box, self, suspect work.Box, regions work.Regions) []work.Box {
	zones := map[string][]work.Box{}
	for _, box := range live {
		if box.Name != self.Name && box.Name != suspect.Name && regions[box.Zone] == regions[suspect.Zone] {
			zones[box.Zone] = append(zones[box.Zone], box)
		}
	}
	type candidate struct {
		box  work.Box
		rank int
	}
	var candidates []candidate
	for zone, boxes := range zones {
		weight := func(i int) (string, float64) { return boxes[i].Name, slotWeight(boxes[i]) }
		for rank, i := range ident.WeightedRendezvousTop(suspect.Name, len(boxes), weight, maxWitnesses) {
			if zone == suspect.Zone && len(zones) > 1 {
				if rank > 0 {
					break
				}
				rank = maxWitnesses / 3
			}
			candidates = append(candidates, candidate{box: boxes[i], rank: rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.box.Name, b.box.Name))
	})
	var witnesses []work.Box
	for _, next := range candidates[:min(len(candidates), maxWitnesses)] {
		witnesses = append(witnesses, next.box)
	}
	return witnesses
}

// Witness tries to connect to the box on behalf of another one. It returns Unknown if this box may be cut off
// itself.
func (f *Failover) Witness(ctx context.Context, box work.Box) Contact {
	if !f.inContact() {
		return Unknown
	}
	return f.prober.Contact(ctx, box)
}

// watch checks the box periodically until it answers or the log no longer lists this incarnation of it.
func (f *Failover) watch(box work.Box) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if f.watched[box] || f.stopped {
		return
	}
	f.watched[box] = true
	f.checks.Go(func() {
		for f.stillUnreachable(box) {
			f.View.MarkUnreachable(box)
		}
		f.unwatch(box)
	})
}

// stillUnreachable waits for recheckInterval and reports whether the box does not answer then.
func (f *Failover) stillUnreachable(box work.Box) bool {
	select {
	case <-time.After(recheckInterval):
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
	wasConfirmed := f.confirmed[box.Name] == box
	if wasConfirmed {
		delete(f.confirmed, box.Name)
	}
	f.stateMu.Unlock()
	if !wasConfirmed || f.ctx.Err() != nil {
		return
	}
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
	if since, ok := f.failingSince(box); ok && f.mayJudge(box) {
		if left := takeoverDuration - time.Since(since); left > 0 {
			return max(left, minTakeoverRetry)
		}
	}
	return f.View.TakeoverIn(box)
}

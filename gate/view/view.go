package view

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

// Timing holds the intervals of a view.
type Timing struct {
	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Look is the time between two reads of the others' heartbeats.
	Look time.Duration
	// Dead is how long a box may be silent, while the log can be read, before it counts as
	// dead. It covers a few lost heartbeats.
	Dead time.Duration
	// Doubt is how long a box may be silent that could not be reached just now. It is above
	// Beat and Look together, so that a living box which only this one can't reach is heard.
	Doubt time.Duration
	// Settle is how long a box listens without a break before it trusts that it hears all.
	// After a break others may be waiting for a call to the log to fail, so it covers Call.
	Settle time.Duration
	// Begin is the same for a box that has just started and reached the log at once.
	Begin time.Duration
	// Call bounds one call to the log.
	Call time.Duration
}

// Usual are the intervals used where nothing else is set. A box that dies is found after
// 1.0 to 1.3 s where calls are forwarded to it, and after 2.3 s at the latest. Heartbeats and
// reads are calls to the log, so that they are not more often.
func Usual() Timing {
	return Timing{
		Beat: 500 * time.Millisecond, Look: 300 * time.Millisecond, Doubt: time.Second, Dead: 2 * time.Second,
		Settle: 1500 * time.Millisecond, Begin: 800 * time.Millisecond, Call: time.Second,
	}
}

// Log is the part of the log that a view uses.
type Log interface {
	Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error
	Newest(ctx context.Context, shard work.Shard, each func(work.Record)) (next int64, err error)
	Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error)
}

// claimTime is the time from a change of the view to the end of a claim: half the time
// between two looks, and some calls to the log.
const claimTime = 250 * time.Millisecond

var boxes = work.Shard{Topic: work.Boxes}

// entry is what is known of one other box.
type entry struct {
	work.Box
	heard time.Time
}

// View is the service.
type View struct {
	log    Log
	timing Timing
	logger *slog.Logger
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	self   work.Box
	others map[string]entry
	next   int64
	// unreached is when a call to a box last failed.
	unreached map[string]time.Time
	// begun is when the box started.
	begun time.Time
	// since is when the box began to listen without a break.
	since   time.Time
	settled bool
	// trusted is set once the view has settled for the first time.
	trusted bool
	// saidAt is when the newest heartbeat was sent that the log has confirmed.
	saidAt time.Time
	// readAt is when the log was last read with success.
	readAt time.Time
	// live is sorted by name and holds this box too unless it leaves.
	live    []work.Box
	changed []func()
}

// New makes a view of a box that has not started.
func New(self work.Box, log Log, timing Timing, logger *slog.Logger) *View {
	v := &View{self: self, log: log, timing: timing, logger: logger, others: map[string]entry{}, unreached: map[string]time.Time{}, next: -1}
	v.live = []work.Box{self}
	return v
}

// OnChange calls do after each change of the living boxes. It must be called before Start.
func (v *View) OnChange(do func()) {
	v.changed = append(v.changed, do)
}

// Start implements a service.
func (v *View) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.begun = time.Now()
	v.done.Go(func() { v.beat(ctx) })
	v.done.Go(func() { v.look(ctx) })
	return nil
}

// Stop implements a service.
func (v *View) Stop(context.Context) error {
	v.cancel()
	v.done.Wait()
	return nil
}

// Settled reports whether the box has heard the others without a break for long enough to
// know who lives. Without that it must not take slots over.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settled && time.Since(v.readAt) <= v.timing.Dead/2
}

// Trusted reports whether the view has settled at least once since the start.
func (v *View) Trusted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.trusted
}

// ReadAge is the time since the log was last read; the view is no newer than that.
func (v *View) ReadAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.readAt)
}

// Live returns the boxes that live and do not leave, by name.
func (v *View) Live() []work.Box {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.live
}

// Find returns the box with the name and incarnation if it lives, also one that leaves.
func (v *View) Find(name, incarnation string) (work.Box, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.others[name]
	return e.Box, ok && e.Incarnation == incarnation
}

// Unreached notes that a call to the box failed to reach it. A box that is silent as well
// counts as dead sooner.
func (v *View) Unreached(box work.Box) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreached[box.Name] = time.Now()
}

// Doubted reports that the box could not be reached a moment ago and was not heard since.
// Another try would keep a caller waiting for nothing.
func (v *View) Doubted(box work.Box) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.unreached[box.Name]
	return ok && time.Since(at) < v.timing.Doubt/2 && v.others[box.Name].heard.Before(at)
}

// Patience is how long it takes until a slot of the box is likely to have another owner, or
// until this box itself may claim its slots.
func (v *View) Patience(box work.Box) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	left := time.Duration(0)
	if box.Name == v.self.Name {
		left = v.since.Add(v.quarantine()).Sub(now)
	} else if e, ok := v.others[box.Name]; ok {
		left = e.heard.Add(v.silence(box.Name, now)).Sub(now)
	}
	return max(left, 0) + claimTime
}

// silence is how long the box may be silent.
func (v *View) silence(name string, now time.Time) time.Duration {
	if at, ok := v.unreached[name]; ok && now.Sub(at) < v.timing.Doubt {
		return v.timing.Doubt
	}
	return v.timing.Dead
}

// Owner is the box that should own a slot: the rendezvous winner among those that live.
func (v *View) Owner(slot string) (work.Box, bool) {
	live := v.Live()
	best, found := -1, uint64(0)
	for i, box := range live {
		if weight := ident.Weight(slot, box.Name); best < 0 || weight > found {
			best, found = i, weight
		}
	}
	if best < 0 {
		return work.Box{}, false
	}
	return live[best], true
}

// Leave tells the others that this box gives up its slots.
func (v *View) Leave(ctx context.Context) {
	v.mu.Lock()
	v.self.Leaving = true
	v.mu.Unlock()
	v.say(ctx)
	v.update(time.Now())
}

func (v *View) beat(ctx context.Context) {
	v.every(ctx, v.timing.Beat, v.say)
}

func (v *View) look(ctx context.Context) {
	v.every(ctx, v.timing.Look, func(ctx context.Context) { v.listen(ctx) })
}

func (v *View) every(ctx context.Context, pause time.Duration, do func(context.Context)) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// say appends one heartbeat.
func (v *View) say(ctx context.Context) {
	v.mu.Lock()
	self := v.self
	v.mu.Unlock()
	raw, err := json.Marshal(self)
	if err != nil {
		v.logger.Error("view: heartbeat does not encode", "error", err)
		return
	}
	ctx, stop := context.WithTimeout(ctx, v.timing.Call)
	defer stop()
	start := time.Now()
	err = v.log.Append(ctx, boxes, work.Writer{}, []work.Record{{Key: self.Name, Value: raw}})
	if err != nil {
		v.logger.Debug("view: heartbeat not sent", "error", err)
		return
	}
	v.mu.Lock()
	v.saidAt = start
	v.mu.Unlock()
}

// Fresh reports that this box was heard so lately that no other counts it as dead.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.saidAt) < v.timing.Dead/2
}

// listen reads the others' heartbeats.
func (v *View) listen(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, v.timing.Call)
	defer stop()
	if v.next < 0 {
		// What was said before this box began may be old: only later heartbeats count.
		next, err := v.log.Newest(ctx, boxes, func(work.Record) {})
		if err != nil {
			return
		}
		v.next = next
	}
	page, err := v.log.Read(ctx, boxes, v.next, 0)
	if fault.Is(err, fault.HistoryGone) {
		v.next = -1
		return
	}
	if err != nil {
		return
	}
	v.next = page.Next
	v.take(page.Records)
}

func (v *View) take(recs []work.Record) {
	now := time.Now()
	v.mu.Lock()
	if now.Sub(v.readAt) > v.timing.Dead/2 {
		// Nobody could be heard meanwhile: all get their time anew.
		for name, e := range v.others {
			e.heard = now
			v.others[name] = e
		}
		v.since = now
		time.AfterFunc(v.quarantine(), func() { v.update(time.Now()) })
	}
	v.readAt = now
	for _, rec := range recs {
		var box work.Box
		if err := json.Unmarshal(rec.Value, &box); err != nil || box.Name != rec.Key {
			v.logger.Warn("view: malformed heartbeat", "key", rec.Key)
			continue
		}
		if box.Name != v.self.Name {
			v.others[box.Name] = entry{Box: box, heard: now}
		}
	}
	v.mu.Unlock()
	v.update(now)
}

// update forgets dead boxes and tells of changes.
func (v *View) update(now time.Time) {
	v.mu.Lock()
	for name, e := range v.others {
		if now.Sub(e.heard) > v.silence(name, now) {
			v.logger.Warn("view: box dead", "box", name, "silent", now.Sub(e.heard))
			delete(v.others, name)
			delete(v.unreached, name)
		}
	}
	live := v.list()
	settled := !v.since.IsZero() && now.Sub(v.since) >= v.quarantine()
	same := settled == v.settled && equal(live, v.live)
	v.live, v.settled = live, settled
	v.trusted = v.trusted || settled
	v.mu.Unlock()
	if same {
		return
	}
	v.logger.Info("view: boxes changed", "live", len(live), "settled", settled)
	for _, do := range v.changed {
		do()
	}
}

// quarantine is how long the box must have listened.
func (v *View) quarantine() time.Duration {
	if v.since.Sub(v.begun) < v.timing.Beat {
		return v.timing.Begin
	}
	return v.timing.Settle
}

func (v *View) list() []work.Box {
	var live []work.Box
	if !v.self.Leaving {
		live = append(live, v.self)
	}
	for _, e := range v.others {
		if !e.Leaving {
			live = append(live, e.Box)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

func equal(a, b []work.Box) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

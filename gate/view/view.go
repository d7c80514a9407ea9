package view

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// Log is the part of the log that a view uses.
type Log interface {
	// Join keeps the member in the fleet for ttl. The generation rises with each change of the
	// fleet; the one heard last is handed back.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error)
	Leave(ctx context.Context, member string) error
	// Members returns all members, as of the generation or later.
	Members(ctx context.Context, generation int64) ([]string, error)
}

// entry is what is known of one other box.
type entry struct {
	work.Box
	// member says that the log named the box when it was last asked.
	member bool
	heard  time.Time
}

// View is the service.
type View struct {
	self   work.Box
	log    Log
	timing Timing
	logger *slog.Logger
	cancel context.CancelFunc
	done   sync.WaitGroup

	// joining holds a token while a heartbeat is under way, so that none follows the word that
	// the box leaves; stopJoin ends the one under way.
	joining chan struct{}

	mu       sync.Mutex
	leaving  bool
	stopJoin context.CancelFunc
	others   map[string]entry
	// left holds boxes that said that they leave, as they were heard last.
	left map[string]entry
	// before is a box's start before the one that is known.
	before map[string]string
	// unreached holds boxes to which calls failed lately.
	unreached map[string]failure
	// generation is the one heard last, known the one whose members were read.
	generation, known int64
	// again is when the members of the known generation are read once more: a new member is
	// named only after others have joined again.
	again   time.Time
	rereads int
	// took is how long the log's last answer took.
	took time.Duration
	// begun is when the box started.
	begun time.Time
	// since is when the box began to listen without a break.
	since   time.Time
	settled bool
	// trusted is set once the view has settled for the first time.
	trusted bool
	// saidAt is when the newest heartbeat was sent that the log has confirmed, readAt when the
	// confirmation came.
	saidAt, readAt time.Time
	// live is sorted by name and holds this box too unless it leaves. It is replaced only when it changes.
	live []work.Box
	// moved says that live is to be made anew.
	moved bool
	// boxes holds the members of the list that was taken last, by their texts.
	boxes map[string]work.Box
	// ranks is who should own the slots among live.
	ranks   ranks
	changed []func()
}

// New makes a view of a box that has not started.
func New(self work.Box, log Log, timing Timing, logger *slog.Logger) *View {
	return &View{
		self: self, log: log, timing: timing, logger: logger, live: []work.Box{self}, known: -1, joining: make(chan struct{}, 1), stopJoin: func() {},
		others: map[string]entry{}, left: map[string]entry{}, before: map[string]string{}, unreached: map[string]failure{},
	}
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
	v.done.Go(func() { v.run(ctx) })
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
	return v.settled && time.Since(v.readAt) <= v.hold()
}

// Trusted reports whether the view has settled at least once since the start.
func (v *View) Trusted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.trusted
}

// Fresh reports that this box was heard so lately that no other counts it as dead.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.saidAt) < v.timing.Hold*3/4
}

// ReadAge is the time since the log was last heard; the view is no newer than that.
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

// Find returns the box with the name and incarnation if it can be asked: it lives, or it
// left the fleet lately and answers.
func (v *View) Find(name, incarnation string) (work.Box, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.others[name]
	if !ok || e.Incarnation != incarnation {
		e, ok = v.left[name]
	}
	if _, failed := v.unreached[name]; failed {
		return work.Box{}, false
	}
	return e.Box, ok && e.Incarnation == incarnation
}

// Leave takes this box out of the fleet.
func (v *View) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving, v.moved = true, true
	v.stopJoin()
	v.mu.Unlock()
	v.joining <- struct{}{}
	defer func() { <-v.joining }()
	ctx, stop := context.WithTimeout(ctx, v.timing.Call)
	defer stop()
	v.takeOut(ctx)
	v.update(time.Now())
}

// Left takes a box's word that it leaves. It can still be asked for its slots.
func (v *View) Left(box work.Box) {
	v.mu.Lock()
	v.left[box.Name] = entry{Box: box, heard: time.Now()}
	if have, ok := v.others[box.Name]; ok && have.Incarnation == box.Incarnation {
		delete(v.others, box.Name)
		v.moved = true
	}
	v.mu.Unlock()
	v.update(time.Now())
}

// hold is how long the log keeps a box after its heartbeat.
func (v *View) hold() time.Duration {
	return min(v.timing.Hold+slowAnswers*v.took, v.timing.HoldMost)
}

func (v *View) run(ctx context.Context) {
	tick := time.NewTicker(v.timing.Beat)
	defer tick.Stop()
	for {
		if err := v.beat(ctx); err != nil && ctx.Err() == nil {
			v.logger.Debug("view: heartbeat not sent", "cause", err)
		}
		settle := time.NewTimer(v.unsettled())
		select {
		case <-ctx.Done():
			return
		case <-settle.C:
			v.update(time.Now())
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		case <-tick.C:
			settle.Stop()
		}
	}
}

// unsettled is the time until the view settles, or a long one if it has.
func (v *View) unsettled() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settled || v.since.IsZero() {
		return time.Hour
	}
	return max(time.Until(v.since.Add(v.quarantine())), 0)
}

// beat joins the fleet once more, and reads its members if they have changed.
func (v *View) beat(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, v.timing.Call)
	defer stop()
	start := time.Now()
	generation, leaving, err := v.join(ctx)
	if err != nil {
		return err
	}
	v.heard(start, generation)
	if v.changedFleet() || leaving {
		members, err := v.log.Members(ctx, generation)
		if err != nil {
			return err
		}
		if leaving && slices.Contains(members, v.self.Member()) {
			// The log has done a heartbeat from before, whose answer was lost, after the box had
			// left. Others would take it for the owner of slots.
			v.takeOut(ctx)
		}
		v.take(generation, members)
	}
	v.update(time.Now())
	return nil
}

// takeOut has the log take the box out of the fleet.
func (v *View) takeOut(ctx context.Context) {
	if err := v.log.Leave(ctx, v.self.Member()); err != nil {
		v.logger.Warn("view: others not told that this box leaves", "cause", err)
	}
}

// join joins the fleet unless the box leaves, and once more at once if it has changed: a new
// member is named only after the others have joined with the new generation.
func (v *View) join(ctx context.Context) (generation int64, leaving bool, err error) {
	v.joining <- struct{}{}
	defer func() { <-v.joining }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	v.mu.Lock()
	v.stopJoin = stop
	leaving, generation = v.leaving, v.generation
	hold := v.hold()
	v.mu.Unlock()
	if leaving {
		return generation, true, nil
	}
	generation, err = v.joinTwice(ctx, generation, hold)
	return generation, false, err
}

func (v *View) joinTwice(ctx context.Context, generation int64, hold time.Duration) (int64, error) {
	member := v.self.Member()
	got, err := v.log.Join(ctx, member, generation, hold)
	if err != nil || got == generation {
		return got, err
	}
	return v.log.Join(ctx, member, got, hold)
}

// heard notes an answer of the log.
func (v *View) heard(start time.Time, generation int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if now.Sub(v.readAt) > v.hold() {
		// Nobody could be heard meanwhile: all get their time anew.
		v.since, v.known = now, -1
	}
	v.took, v.saidAt, v.readAt, v.generation = now.Sub(start), start, now, generation
}

func (v *View) changedFleet() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known != v.generation || time.Now().After(v.again)
}

// take takes the members of a generation.
func (v *View) take(generation int64, members []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	named := map[string]bool{}
	for _, box := range v.parse(members) {
		if box.Name == v.self.Name {
			continue
		}
		// A box that started again is named twice until its start before is forgotten.
		if have, ok := v.others[box.Name]; ok && have.Incarnation != box.Incarnation {
			if v.before[box.Name] == box.Incarnation {
				continue
			}
			v.before[box.Name] = have.Incarnation
		}
		if v.left[box.Name].Incarnation == box.Incarnation {
			continue
		}
		named[box.Name] = true
		v.moved = v.moved || v.others[box.Name].Box != box
		v.others[box.Name] = entry{Box: box, member: true, heard: now}
	}
	for name, e := range v.others {
		if !named[name] {
			e.member = false
			v.others[name] = e
		}
	}
	if v.known != generation {
		v.rereads = rereads + 1
	}
	v.rereads--
	v.again = now.Add(rereadAfter*v.timing.Beat - v.timing.Beat/2)
	if v.rereads <= 0 {
		v.again = now.Add(v.timing.Reread)
	}
	v.known = generation
}

// parse reads the members. Those of the list before are known: of a thousand few are new at a change.
func (v *View) parse(members []string) []work.Box {
	known := make(map[string]work.Box, len(members))
	boxes := make([]work.Box, 0, len(members))
	for _, text := range members {
		box, ok := v.boxes[text]
		if !ok {
			var err error
			if box, err = work.ParseMember(text); err != nil {
				v.logger.Warn("view: malformed member", "cause", err)
				continue
			}
		}
		known[text] = box
		boxes = append(boxes, box)
	}
	v.boxes = known
	return boxes
}

// update forgets boxes that the log no longer names and tells of changes.
func (v *View) update(now time.Time) {
	v.mu.Lock()
	v.forget(now)
	live := v.live
	if v.moved {
		live = v.list()
	}
	// A box that has joined and was then cut off knows of nobody; it must not take itself for the
	// only one.
	told := v.known >= 0
	settled := told && !v.since.IsZero() && now.Sub(v.since) >= v.quarantine()
	same := settled == v.settled && (!v.moved || slices.Equal(live, v.live))
	if !same {
		v.live = live // what is kept for the same boxes stays, so that nothing is ranked anew at each heartbeat
	}
	v.settled, v.moved = settled, false
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

func (v *View) forget(now time.Time) {
	for name, e := range v.others {
		if !e.member && now.Sub(v.since) >= v.timing.Grace {
			v.logger.Info("view: box left or died", "other", name, "heard", now.Sub(e.heard))
			delete(v.others, name)
			v.moved = true
		}
	}
	for name, e := range v.left {
		if now.Sub(e.heard) > v.timing.Remember {
			delete(v.left, name)
		}
	}
	for name, f := range v.unreached {
		if now.Sub(f.last) > failuresFor {
			delete(v.unreached, name)
		}
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
	if !v.leaving {
		live = append(live, v.self)
	}
	for _, e := range v.others {
		live = append(live, e.Box)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

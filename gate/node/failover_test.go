package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/access"
	"mulleingate.dev/gate/chain"
	"mulleingate.dev/gate/entry"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/shard"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// slotFleet is three boxes in each of three zones, a1 to c3, the links between them and the log.
type slotFleet struct {
	conf *work.Config

	mu        sync.Mutex
	boxes     map[string]*fakeMember
	cutZones  map[string]bool
	cutLinks  map[[2]string]bool
	killed    map[string]bool
	expiresAt map[string]time.Time
	// generation counts the changes of the members.
	generation int64
	recs       map[int][]work.Record
	fences     map[int]work.Writer
	// claims counts the epochs that were opened.
	claims int
	// readTime is added to each read of a slot, ownerTime to each write of an owner record. reads counts the reads
	// of slots.
	readTime, ownerTime time.Duration
	reads               int
}

// fakeMember is one box of a slotFleet. It implements what the services of the box need of others.
type fakeMember struct {
	*slotFleet
	self     work.Box
	view     *view.View
	failover *view.Failover
	shards   *shard.Manager
	entry    *entry.Entry
}

const (
	// roundTrip is the time that a request between boxes or to the log takes, silence the time after which a
	// forwarding box gives a silent box up, and checkTime that of a check of a silent box.
	roundTrip = 4 * time.Millisecond
	silence   = 135 * time.Millisecond
	checkTime = 75 * time.Millisecond
)

// cut reports whether packets between the zones or boxes vanish. The log has neither a zone nor a name.
func (f *slotFleet) cut(a, b work.Box) bool {
	return a.Zone != b.Zone && (f.cutZones[a.Zone] || f.cutZones[b.Zone]) || f.cutLinks[[2]string{a.Name, b.Name}] || f.cutLinks[[2]string{b.Name, a.Name}]
}

// reach waits for a round trip to the box, or for the given time if it is silent, and returns the result.
func (m *fakeMember) reach(ctx context.Context, box work.Box, wait time.Duration) view.Contact {
	m.mu.Lock()
	cut, killed := m.cut(m.self, box), m.killed[box.Name] || m.killed[m.self.Name]
	m.mu.Unlock()
	if !cut {
		wait = roundTrip
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return view.Unknown
	}
	switch {
	case cut:
		return view.Silent
	case killed:
		return view.Gone
	}
	return view.Answered
}

// call waits for a round trip to the log. It fails if the log can't be reached.
func (m *fakeMember) call(ctx context.Context) error {
	if m.reach(ctx, work.Box{}, time.Hour) != view.Answered {
		return fault.Fail(fault.LogUnavailable, "no answer")
	}
	return nil
}

func (m *fakeMember) Contact(ctx context.Context, box work.Box) view.Contact {
	return m.reach(ctx, box, checkTime)
}

func (m *fakeMember) AskContact(ctx context.Context, witness, box work.Box) view.Contact {
	if m.reach(ctx, witness, time.Hour) != view.Answered {
		return view.Unknown
	}
	return m.boxes[witness.Name].failover.Witness(ctx, box)
}

func (m *fakeMember) Turn(ctx context.Context, box work.Box, slot int, unreached []work.Box, call *work.Call, route *work.Route, out work.Answer) error {
	if got := m.reach(ctx, box, silence); got != view.Answered {
		return fault.Refuse(fault.PeerUnreachable, string(got))
	}
	return m.boxes[box.Name].entry.RunHere(ctx, slot, unreached, call, route, out)
}

func (m *fakeMember) Keeps(ctx context.Context, box work.Box, slot int, claimant work.Owner) (bool, error) {
	if got := m.reach(ctx, box, time.Hour); got != view.Answered {
		return false, fault.Refuse(fault.PeerUnreachable, string(got))
	}
	return m.boxes[box.Name].shards.Keeps(slot, claimant), nil
}

func (m *fakeMember) Handover(ctx context.Context, box work.Box, slot int, claimant work.Owner) error {
	if got := m.reach(ctx, box, time.Hour); got != view.Answered {
		return fault.Refuse(fault.PeerUnreachable, string(got))
	}
	return m.boxes[box.Name].shards.Handover(ctx, slot, claimant)
}

func (m *fakeMember) NotifyTaken(ctx context.Context, box work.Box, slot int, owner work.Owner) error {
	if got := m.reach(ctx, box, time.Hour); got != view.Answered {
		return fault.Refuse(fault.PeerUnreachable, string(got))
	}
	return m.boxes[box.Name].shards.NotifyTaken(slot, owner)
}

func (m *fakeMember) Deliver(context.Context, work.Box, int, []work.Record) error { return nil }
func (m *fakeMember) Find(ctx context.Context, box work.Box, turn string, _ int, confirm bool) ([]byte, []int, error) {
	if got := m.reach(ctx, box, silence); got != view.Answered {
		return nil, nil, fault.Refuse(fault.PeerUnreachable, string(got))
	}
	text, slots := m.boxes[box.Name].entry.Find(ctx, turn, confirm)
	return text, slots, nil
}

// Run writes a record as a turn does, and returns once the log holds it. It refuses a turn that continues another one
// whose text it does not have.
func (m *fakeMember) Run(ctx context.Context, slot *shard.Slot, call *work.Call, _ *work.Route, _ work.Answer) error {
	if call.Turn.Previous != "" && call.Turn.Base == nil {
		return fault.Refuse(fault.NoTurn, "not kept")
	}
	return slot.Write(ctx, []work.Record{{Key: "x", Value: []byte(call.ID)}})
}

func (m *fakeMember) Join(ctx context.Context, member string, _ int64, ttl time.Duration) (int64, error) {
	if err := m.call(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.expiresAt[member]; !ok {
		m.generation++
	}
	m.expiresAt[member] = time.Now().Add(ttl)
	for other, at := range m.expiresAt {
		if time.Now().After(at) {
			delete(m.expiresAt, other)
			m.generation++
		}
	}
	return m.generation, nil
}

func (m *fakeMember) Leave(context.Context, string) error { return nil }

func (m *fakeMember) Members(ctx context.Context, _ int64) ([]string, error) {
	if err := m.call(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []string
	for member := range m.expiresAt {
		members = append(members, member)
	}
	return members, nil
}

func (m *fakeMember) Append(ctx context.Context, to work.Shard, writer work.Writer, recs []work.Record) error {
	if err := m.call(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	delay := m.ownerTime
	m.mu.Unlock()
	if len(recs) == 1 && recs[0].Key == "owner" {
		time.Sleep(delay)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.fences[to.Number]
	if writer.Epoch < newest.Epoch {
		return fault.Refuse(fault.NotOwner, "fenced off")
	}
	if writer.Epoch > newest.Epoch {
		m.claims++
	}
	m.fences[to.Number] = writer
	m.recs[to.Number] = append(m.recs[to.Number], recs...)
	return nil
}

func (m *fakeMember) Newest(ctx context.Context, of work.Shard, _ string) (work.Batch, error) {
	m.mu.Lock()
	m.reads++
	delay := m.readTime
	m.mu.Unlock()
	time.Sleep(delay)
	page, err := m.Read(ctx, of, 0, 0)
	return work.Batch{Records: page.Records, Next: page.Next}, err
}

func (m *fakeMember) Read(ctx context.Context, of work.Shard, from int64, _ time.Duration) (work.Page, error) {
	if err := m.call(ctx); err != nil {
		return work.Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	recs := m.recs[of.Number]
	return work.Page{Records: append([]work.Record(nil), recs[from:]...), Next: int64(len(recs))}, nil
}

func (m *fakeMember) Current() access.ConfigSnapshot {
	return access.ConfigSnapshot{Config: m.conf, ConfirmedAt: time.Now()}
}
func (m *fakeMember) Take(context.Context, work.Workspace, bool) (quota.Permit, error) {
	return quota.Permit{}, nil
}
func (m *fakeMember) Forward(context.Context, *work.Call, *work.Route, work.Answer) error { return nil }
func (m *fakeMember) Await(work.Fingerprint)                                              {}
func (m *fakeMember) Check(work.Fingerprint) error                                        { return nil }
func (m *fakeMember) CutOff() bool                                                        { return false }
func (m *fakeMember) RetryDelay() time.Duration                                           { return 100 * time.Millisecond }
func (m *fakeMember) Count(string, int64)                                                 {}
func (m *fakeMember) Time(string, time.Duration)                                          {}

// runFleet runs a test on a settled fleet.
func runFleet(t *testing.T, test func(t *testing.T, f *slotFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &slotFleet{
			conf: work.NewConfig(1, []work.Route{{
				Name: "chat", Host: "h", Prefix: "/", Kind: work.Stream, Timeout: 5 * time.Second, Stateful: true, Splits: []work.Split{{Service: "m", Weight: 1}},
			}}, nil, work.Limits{}),
			boxes: map[string]*fakeMember{}, cutZones: map[string]bool{}, cutLinks: map[[2]string]bool{}, killed: map[string]bool{},
			expiresAt: map[string]time.Time{}, recs: map[int][]work.Record{}, fences: map[int]work.Writer{},
		}
		for _, zone := range []string{"a", "b", "c"} {
			for n := range 3 {
				f.add(t, work.Box{Name: fmt.Sprintf("%s%d", zone, n+1), Zone: zone, Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: "1"})
			}
		}
		time.Sleep(3 * time.Second)
		test(t, f)
		for _, m := range f.boxes {
			_ = m.shards.Stop(context.Background())   // it always returns nil
			_ = m.failover.Stop(context.Background()) // it always returns nil
			_ = m.view.Stop(context.Background())     // it always returns nil
		}
		time.Sleep(time.Hour) // requests to silent boxes end
	})
}

func (f *slotFleet) add(t *testing.T, self work.Box) {
	t.Helper()
	m := &fakeMember{slotFleet: f, self: self}
	logger := slog.New(slog.DiscardHandler)
	layout := shard.NewLayout(1)
	m.view = view.New(self, m, view.DefaultTiming(), logger)
	m.failover = view.NewFailover(m.view, nil, m, m, m)
	m.shards = shard.New(self, layout, m, m.failover, m, m, logger)
	m.entry = entry.New(self, layout, nil, m, access.New(access.Bounds{Apply: time.Second}), m, m.failover, m, m.shards, m, m, m, m, m, logger)
	m.view.OnChange(m.shards.Rebalance)
	m.failover.OnRecovered(m.shards.NotifyRecovered)
	if err := m.view.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boxes[self.Name] = m
}

// ranked returns the names of the boxes in the ranking of the only slot, as the given box sees it.
func (f *slotFleet) ranked(at string) []work.Box {
	return f.boxes[at].view.Owners("slot-0", len(f.boxes))
}

// outside returns a box that is in none of the zones of the first two boxes of the ranking and of low rank.
func (f *slotFleet) outside() string {
	ranked := f.ranked("a1")
	for i := len(ranked) - 1; i > 0; i-- {
		if ranked[i].Zone != ranked[0].Zone && ranked[i].Zone != ranked[1].Zone {
			return ranked[i].Name
		}
	}
	return ranked[len(ranked)-1].Name
}

// turn has a caller send a turn to the box. The caller retries a refused turn when it is told to, up to the given
// number of times.
// It returns how long that took.
func (f *slotFleet) turn(box string, retries int) (time.Duration, error) {
	start := time.Now()
	for {
		call := &work.Call{ID: "i", Host: "h", Target: "/x", Arrived: time.Now(), Turn: &work.Turn{Program: "p"}}
		err := f.boxes[box].entry.Handle(context.Background(), call, 3*time.Second, nil)
		if err == nil || retries == 0 || !fault.From(err).NotRun {
			return time.Since(start), err
		}
		retries--
		time.Sleep(fault.From(err).RetryAfter)
	}
}

// holders returns the boxes that hold the slot and are not killed.
func (f *slotFleet) holders() []string {
	var names []string
	for _, box := range f.ranked(f.outside()) {
		if !f.killed[box.Name] && f.boxes[box.Name].shards.Holds(0) {
			names = append(names, box.Name)
		}
	}
	return names
}

func (f *slotFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// TestNextTurnAfterLoss checks that the next turn after the loss of an owner runs within half a second, long before
// the log drops the lost box, and that an owner that comes back gets its slot by one handover.
func TestNextTurnAfterLoss(t *testing.T) {
	cases := map[string]struct {
		lose, restore func(f *slotFleet, owner work.Box)
		within        time.Duration
	}{
		"killed": {func(f *slotFleet, owner work.Box) {
			f.killed[owner.Name] = true
		}, nil, 100 * time.Millisecond},
		"zone cut off for a moment": {func(f *slotFleet, owner work.Box) {
			f.cutZones[owner.Zone] = true
		}, func(f *slotFleet, owner work.Box) {
			f.cutZones[owner.Zone] = false
		}, 500 * time.Millisecond},
		"only the log reaches it for a moment": {func(f *slotFleet, owner work.Box) {
			for name := range f.boxes {
				f.cutLinks[[2]string{owner.Name, name}] = true
			}
		}, func(f *slotFleet, _ work.Box) {
			clear(f.cutLinks)
		}, 500 * time.Millisecond},
		"no power": {func(f *slotFleet, owner work.Box) {
			f.cutLinks[[2]string{owner.Name, ""}] = true
			for name := range f.boxes {
				f.cutLinks[[2]string{owner.Name, name}] = true
			}
		}, nil, 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *slotFleet) {
				caller, owner := f.outside(), f.ranked("a1")[0]
				if _, err := f.turn(caller, 3); err != nil {
					t.Fatal(err)
				}
				claims := f.claims
				f.set(func() { c.lose(f, owner) })
				took, err := f.turn(caller, 3)
				t.Logf("the next turn took %v", took)
				if err != nil || took > c.within {
					t.Errorf("the next turn: %v after %v", err, took)
				}
				if c.restore == nil {
					return
				}
				f.set(func() { c.restore(f, owner) })
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					if _, err := f.turn(caller, 3); err != nil {
						t.Errorf("after the return: %v", err)
					}
				}
				if got := f.holders(); len(got) != 1 || got[0] != owner.Name || f.claims != claims+2 {
					t.Errorf("held by %v after %d claims", got, f.claims-claims)
				}
			})
		})
	}
}

// TestNoTakeoverFromReachableOwner checks that an owner which others reach keeps its slot, though one box can't
// forward turns to it, and that boxes that are cut off themselves claim nothing.
func TestNoTakeoverFromReachableOwner(t *testing.T) {
	cases := map[string]func(f *slotFleet, caller string){
		"broken link to the forwarding box": func(f *slotFleet, caller string) {
			f.cutLinks[[2]string{caller, f.ranked("a1")[0].Name}] = true
		},
		"broken links to the forwarding and the next box": func(f *slotFleet, caller string) {
			f.cutLinks[[2]string{caller, f.ranked("a1")[0].Name}] = true
			f.cutLinks[[2]string{f.ranked("a1")[1].Name, f.ranked("a1")[0].Name}] = true
		},
		"caller in a zone that is cut off": func(f *slotFleet, caller string) {
			f.cutZones[f.boxes[caller].self.Zone] = true
		},
	}
	for name, harm := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *slotFleet) {
				owner, claims := f.ranked("a1")[0], f.claims
				caller := f.outside()
				f.set(func() { harm(f, caller) })
				for range 10 {
					_, _ = f.turn(caller, 0) // it fails, since the owner can't be reached from here
					time.Sleep(50 * time.Millisecond)
				}
				if !f.boxes[owner.Name].shards.Holds(0) || f.claims != claims {
					t.Errorf("the owner holds its slot: %v, after %d claims", f.boxes[owner.Name].shards.Holds(0), f.claims-claims)
				}
			})
		})
	}
}

// TestOwnerReturnsDuringTakeover guards against a claim that fences off an owner which answers again during the claim,
// and does not tell it: its next turn would fail although it may not have run.
func TestOwnerReturnsDuringTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		readTime, ownerTime time.Duration
		claims              int
	}{
		"while the slot is read":                 {500 * time.Millisecond, 0, 0},
		"between the fence and the owner record": {0, 500 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *slotFleet) {
				caller, owner := f.outside(), f.ranked("a1")[0]
				if _, err := f.turn(caller, 3); err != nil {
					t.Fatal(err)
				}
				claims := f.claims
				f.set(func() {
					f.readTime, f.ownerTime = c.readTime, c.ownerTime
					for name := range f.boxes {
						f.cutLinks[[2]string{owner.Name, name}] = true
					}
				})
				go func() { _, _ = f.turn(caller, 0) }() // it starts the takeover
				time.Sleep(400 * time.Millisecond)
				f.set(func() { clear(f.cutLinks) })
				time.Sleep(5 * time.Second)
				if got := f.holders(); len(got) != 1 || got[0] != owner.Name || f.claims != claims+c.claims {
					t.Errorf("held by %v after %d claims", got, f.claims-claims)
				}
				if _, err := f.turn(owner.Name, 0); err != nil {
					t.Errorf("the next turn at the owner: %v", err)
				}
			})
		})
	}
}

// TestSearchAsksLogAboutOldOwner guards against a search that fails because an owner, whose slot was taken over without
// its notice and whose view is fresh, rules a turn out that the new owner has written.
func TestSearchAsksLogAboutOldOwner(t *testing.T) {
	for _, what := range []string{"old owner", "search"} {
		t.Run(what, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *slotFleet) {
				ranked, caller := f.ranked("a1"), f.outside()
				owner, next := f.boxes[ranked[0].Name], f.boxes[ranked[1].Name]
				if _, err := f.turn(caller, 3); err != nil {
					t.Fatal(err)
				}
				f.set(func() {
					for name := range f.boxes {
						f.cutLinks[[2]string{owner.self.Name, name}] = true
					}
				})
				if _, err := f.turn(caller, 3); err != nil {
					t.Fatal(err)
				}
				slot, err := next.shards.Get(context.Background(), 0)
				if err != nil {
					t.Fatal(err)
				}
				call := &work.Call{ID: "i", Host: "h", Target: "/x", Arrived: time.Now(), Turn: &work.Turn{Program: "p", Previous: "t"}}
				var copied []work.Record
				slot.Update(func(state *chain.State) {
					copied = state.ImportCopy(time.Now(), chain.OpenTurn{Program: call.QualifiedName("p"), Previous: call.QualifiedName("t"), Retention: time.Minute}, []byte("text"))
				})
				if err := slot.Write(context.Background(), copied); err != nil {
					t.Fatal(err)
				}
				f.set(func() { clear(f.cutLinks) })
				if !owner.shards.Holds(0) || !owner.view.Fresh() {
					t.Fatal("the old owner has noticed the takeover")
				}
				if what == "old owner" {
					if text, ruledOut := owner.entry.Find(context.Background(), call.QualifiedName("t"), true); text != nil || len(ruledOut) != 0 {
						t.Errorf("the old owner rules out %v, text %q", ruledOut, text)
					}
					return
				}
				// The box that sends the call has not met the failure, so that it asks the old owner first.
				from := f.boxes[ranked[len(ranked)-1].Name]
				if from.self.Name == caller {
					from = f.boxes[ranked[len(ranked)-2].Name]
				}
				if err := from.entry.Handle(context.Background(), call, 3*time.Second, nil); fault.Is(err, fault.NoTurn) || string(call.Turn.Base) != "text" {
					t.Errorf("the search found %q: %v", call.Turn.Base, err)
				}
			})
		})
	}
}

// TestBrokenLinkAfterTakeover guards against a slot that changes hands for ever because one link stays broken after the
// owner has been lost for a moment: each takeover needs a new confirmation.
func TestBrokenLinkAfterTakeover(t *testing.T) {
	runFleet(t, func(t *testing.T, f *slotFleet) {
		ranked, caller := f.ranked("a1"), f.outside()
		owner, next := ranked[0], ranked[1]
		f.set(func() {
			for name := range f.boxes {
				f.cutLinks[[2]string{owner.Name, name}] = true
			}
		})
		if _, err := f.turn(caller, 3); err != nil {
			t.Fatal(err)
		}
		f.set(func() {
			clear(f.cutLinks)
			f.cutLinks[[2]string{owner.Name, next.Name}] = true
			f.cutLinks[[2]string{owner.Name, caller}] = true
		})
		time.Sleep(5 * time.Second)
		claims := f.claims
		for range 600 {
			_, _ = f.turn(caller, 0)     // it names the owner as unreachable
			_, _ = f.turn(owner.Name, 0) // the owner claims a slot that it has lost
			time.Sleep(time.Second)
		}
		if got := f.claims - claims; got > 2 {
			t.Errorf("%d claims in 10 minutes", got)
		}
	})
}

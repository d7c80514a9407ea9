package view

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// fakeLog keeps the members of the fleet in memory, as the log does.
type fakeLog struct {
	mu sync.Mutex
	// expiresAt holds when each member expires.
	expiresAt  map[string]time.Time
	generation int64
	// cutOff holds boxes whose calls fail; "all" stands for every box.
	cutOff map[string]bool
	// cutOffAtMembers holds boxes that are cut off from the log at their first call to Members.
	cutOffAtMembers map[string]bool
	// latency is the latency of every call.
	latency time.Duration
	// joinDelay, if not zero, fails every Join and applies it only after this delay.
	joinDelay time.Duration
}

func newFakeLog() *fakeLog {
	return &fakeLog{expiresAt: map[string]time.Time{}, cutOff: map[string]bool{}, cutOffAtMembers: map[string]bool{}}
}

// boxLog is one box's client of a fakeLog.
type boxLog struct {
	fake *fakeLog
	box  string
}

// call waits for the latency of a call and fails if the box is cut off.
func (l boxLog) call() error {
	l.fake.mu.Lock()
	latency := l.fake.latency
	l.fake.mu.Unlock()
	time.Sleep(latency)
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	if l.fake.cutOff[l.box] || l.fake.cutOff["all"] {
		return fault.Refuse(fault.LogUnavailable, "cut off")
	}
	return nil
}

// expire removes members that did not renew their membership.
func (log *fakeLog) expire() {
	for member, at := range log.expiresAt {
		if time.Now().After(at) {
			delete(log.expiresAt, member)
			log.generation++
		}
	}
}

func (l boxLog) Join(_ context.Context, member string, _ int64, ttl time.Duration) (int64, error) {
	if err := l.call(); err != nil {
		return 0, err
	}
	l.fake.mu.Lock()
	delay := l.fake.joinDelay
	l.fake.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { l.fake.join(member, ttl) })
		return 0, fault.Fail(fault.LogUnavailable, "no answer")
	}
	return l.fake.join(member, ttl), nil
}

func (log *fakeLog) join(member string, ttl time.Duration) int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.expire()
	if _, ok := log.expiresAt[member]; !ok {
		log.generation++
	}
	log.expiresAt[member] = time.Now().Add(ttl)
	return log.generation
}

// isMember reports whether the box is a member of the fleet.
func (log *fakeLog) isMember(v *View) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	_, ok := log.expiresAt[v.self.Member()]
	return ok
}

func (l boxLog) Leave(_ context.Context, member string) error {
	if err := l.call(); err != nil {
		return err
	}
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	delete(l.fake.expiresAt, member)
	l.fake.generation++
	return nil
}

func (l boxLog) Members(context.Context, int64) ([]string, error) {
	if err := l.call(); err != nil {
		return nil, err
	}
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	if l.fake.cutOffAtMembers[l.box] {
		l.fake.cutOff[l.box] = true
		return nil, fault.Refuse(fault.LogUnavailable, "cut off")
	}
	l.fake.expire()
	var members []string
	for member := range l.fake.expiresAt {
		members = append(members, member)
	}
	return members, nil
}

func (log *fakeLog) setCutOff(box string, cutOff bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.cutOff[box] = cutOff
}

// cutOffAfterJoin sets whether the box is cut off from the log when it reads the members after a heartbeat.
func (log *fakeLog) cutOffAfterJoin(box string, cutOff bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.cutOffAtMembers[box] = cutOff
}

// startViews starts a view for each box name.
func startViews(t *testing.T, log *fakeLog, names ...string) map[string]*View {
	t.Helper()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	views := map[string]*View{}
	for _, name := range names {
		v := New(work.Box{Name: name, Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: name + "-1"}, boxLog{fake: log, box: name}, DefaultTiming(), logger)
		if err := v.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		views[name] = v
	}
	return views
}

func stopViews(views map[string]*View) {
	for _, v := range views {
		_ = v.Stop(context.Background()) // it always returns nil
	}
}

// liveNames returns the names of the live boxes in the view.
func liveNames(v *View) []string {
	var list []string
	for _, box := range v.Live() {
		list = append(list, box.Name)
	}
	return list
}

// TestBoxesFindEachOther checks that the views of boxes that start together settle on the same boxes and
// owners.
func TestBoxesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b", "c")
		defer stopViews(views)
		if views["a"].Settled() {
			t.Error("the view settled before it was complete")
		}
		time.Sleep(2 * time.Second)
		owner, _ := views["a"].Owner("slot-1")
		for name, v := range views {
			if diff := cmp.Diff([]string{"a", "b", "c"}, liveNames(v)); diff != "" || !v.Settled() || !v.Fresh() {
				t.Errorf("live boxes of %s (-want +got):\n%s", name, diff)
			}
			if got, _ := v.Owner("slot-1"); got != owner {
				t.Errorf("%s: owner = %s, want %s", name, got.Name, owner.Name)
			}
		}
	})
}

// TestBoxWithoutMembersDoesNotSettle guards against a box that is cut off between its first heartbeat and the
// list of members and then takes itself for the only box, which would let it claim all slots.
func TestBoxWithoutMembersDoesNotSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		log.cutOffAfterJoin("c", true)
		late := startViews(t, log, "c")
		defer stopViews(late)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if c := late["c"]; c.Settled() || c.HasSettled() {
				t.Fatalf("without members: settled = %v, trusted = %v, live = %v", c.Settled(), c.HasSettled(), liveNames(c))
			}
		}
		log.cutOffAfterJoin("c", false)
		log.setCutOff("c", false)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]string{"a", "b", "c"}, liveNames(late["c"])); diff != "" || !late["c"].Settled() {
			t.Errorf("live boxes (-want +got):\n%s", diff)
		}
	})
}

// TestOwnersAreCached checks that heartbeats and rereads do not rank the owners again while the live boxes stay
// the same.
func TestOwnersAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b", "c")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		v := views["a"]
		before := v.Owners("slot-1", 2)
		time.Sleep(10 * time.Second) // covers heartbeats and rereads of the members
		if after := v.Owners("slot-1", 2); &before[0] != &after[0] {
			t.Error("the owners were ranked again though the live boxes are the same")
		}
		late := startViews(t, log, "d")
		defer stopViews(late)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]string{"a", "b", "c", "d"}, liveNames(v)); diff != "" {
			t.Errorf("live boxes after a join (-want +got):\n%s", diff)
		}
	})
}

// TestOwnersAreRanked checks that the next box in the ranking becomes a slot's owner once the boxes before it
// are gone. Callers rely on it to find the holder of a slot while a box joins.
func TestOwnersAreRanked(t *testing.T) {
	v := New(work.Box{Name: "a"}, nil, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		v.live = append(v.live[:len(v.live):len(v.live)], work.Box{Name: name})
	}
	v.live = v.live[1:] // New has added the first box already
	for _, slot := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
		ranks := v.Owners(slot, 4)
		all := v.live
		for rank, want := range ranks {
			got, _ := v.Owner(slot)
			if got != want {
				t.Errorf("slot %s: rank %d is %s, but the owner without the boxes before it is %s", slot, rank, want.Name, got.Name)
			}
			v.live = slices.DeleteFunc(slices.Clone(v.live), func(box work.Box) bool { return box == got })
		}
		v.live = all
		if got := len(v.Owners(slot, 9)); len(ranks) != 4 || got != 6 {
			t.Errorf("slot %s: got %d of 4 owners and %d of 6", slot, len(ranks), got)
		}
	}
}

// TestFastBoxesOwnMostSlots checks that the few fast boxes of a fleet own most slots, and that no box owns an
// outsized share of them.
func TestFastBoxesOwnMostSlots(t *testing.T) {
	v := New(work.Box{Name: "a"}, nil, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	v.live = nil
	for i := range 195 {
		box := work.Box{Name: "box-" + strconv.Itoa(i), Cores: 0.192, Link: 600}
		switch i % 5 {
		case 0:
			box.Cores = 0.8
		case 1:
			box.Cores, box.Link = 0.8, 5
		}
		v.live = append(v.live, box)
	}
	const slots = 4800
	slow, owned := 0, map[string]int{}
	for slot := range slots {
		box, _ := v.Owner("slot-" + strconv.Itoa(slot))
		owned[box.Name]++
		if box.Cores < 0.5 || box.Link < 100 {
			slow++
		}
	}
	if slow > slots/4 {
		t.Errorf("slow boxes own %d of %d slots", slow, slots)
	}
	for name, n := range owned {
		if n > slots/20 {
			t.Errorf("%s owns %d slots", name, n)
		}
	}
}

// TestDeadBoxIsRemoved checks that a box whose heartbeats stop leaves the view in time, also with a slow log.
func TestDeadBoxIsRemoved(t *testing.T) {
	for _, slow := range []time.Duration{0, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			log := newFakeLog()
			log.latency = slow
			views := startViews(t, log, "a", "b", "c")
			defer stopViews(views)
			time.Sleep(4 * time.Second)
			_ = views["c"].Stop(context.Background())
			start := time.Now()
			for len(liveNames(views["a"])) == 3 && time.Since(start) < 10*time.Second {
				time.Sleep(50 * time.Millisecond)
			}
			within := DefaultTiming().MemberTTL + 2*DefaultTiming().HeartbeatInterval + 8*slow
			if took := time.Since(start); took > within {
				t.Errorf("dead box removed after %v, want at most %v", took, within)
			}
		})
	}
}

// TestSlowLog checks that boxes stay in each other's view when the log becomes slow.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b", "c")
		defer stopViews(views)
		time.Sleep(3 * time.Second)
		log.mu.Lock()
		log.latency = 400 * time.Millisecond
		log.mu.Unlock()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for name, v := range views {
				if len(liveNames(v)) != 3 {
					t.Fatalf("live boxes of %s: %v", name, liveNames(v))
				}
			}
		}
	})
}

// TestRestartedBox checks that a restarted box replaces its earlier incarnation in the view.
func TestRestartedBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		_ = views["b"].Stop(context.Background())
		restarted := New(work.Box{Name: "b", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.2:80"), Incarnation: "b-2"}, boxLog{fake: log, box: "b"}, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := restarted.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		views["b"] = restarted
		time.Sleep(3 * time.Second)
		if box, ok := views["a"].Find("b", "b-2"); !ok || len(liveNames(views["a"])) != 2 {
			t.Errorf("restarted box: %v, live: %v", box, liveNames(views["a"]))
		}
	})
}

// TestUnreachableBoxStaysLive checks that failed calls alone do not remove a box from the view.
func TestUnreachableBoxStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		for range 100 {
			views["a"].MarkUnreachable(work.Box{Name: "b"})
			time.Sleep(50 * time.Millisecond)
			if diff := cmp.Diff([]string{"a", "b"}, liveNames(views["a"])); diff != "" {
				t.Fatalf("live boxes (-want +got):\n%s", diff)
			}
		}
		if !views["a"].RecentlyUnreachable(work.Box{Name: "b"}) {
			t.Error("RecentlyUnreachable = false right after a failed call")
		}
	})
}

// TestLogOutage checks that no box is removed during an outage of the log or just after it, and that no view is
// settled while the log does not answer.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b", "c")
		defer stopViews(views)
		time.Sleep(3 * time.Second)
		log.setCutOff("all", true)
		time.Sleep(10 * time.Second)
		if views["a"].Settled() || views["a"].Fresh() || !views["a"].HasSettled() {
			t.Error("after an outage of 10 s: view settled or fresh, or no longer trusted")
		}
		late := startViews(t, log, "late")
		defer stopViews(late)
		time.Sleep(2 * time.Second)
		if late["late"].Settled() || late["late"].HasSettled() {
			t.Error("a view that started during the outage is settled or trusted")
		}
		log.setCutOff("all", false)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if len(liveNames(views["a"])) < 3 {
				t.Fatalf("live boxes after the outage: %v", liveNames(views["a"]))
			}
			if late["late"].Settled() && len(liveNames(late["late"])) < 4 {
				t.Fatalf("settled with live boxes %v", liveNames(late["late"]))
			}
		}
	})
}

// TestLeavingBoxOwnsNothing checks that a box that leaves is no longer live but can still be found.
func TestLeavingBoxOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		views["b"].Leave(context.Background())
		views["a"].MarkLeaving(views["b"].self)
		time.Sleep(time.Second)
		for _, v := range views {
			if diff := cmp.Diff([]string{"a"}, liveNames(v)); diff != "" {
				t.Errorf("live boxes (-want +got):\n%s", diff)
			}
		}
		if _, ok := views["a"].Find("b", "b-1"); !ok {
			t.Error("Find does not return a box that has just left")
		}
		if _, ok := views["a"].Find("b", "b-0"); ok {
			t.Error("Find returns an earlier incarnation")
		}
	})
}

// TestLeavingBoxMayServe checks that a box that leaves is among those that may serve callers until it has stopped: it was
// not told of crashes, and sent requests to replicas that these crash.
func TestLeavingBoxMayServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		views["b"].Leave(context.Background())
		views["a"].MarkLeaving(views["b"].self)
		serving := map[time.Duration]int{}
		for _, after := range []time.Duration{0, leaveTimeout / 2, leaveTimeout} {
			serving[after] = len(views["a"].Serving())
			time.Sleep(leaveTimeout / 2)
		}
		views["a"].MarkLeaving(views["b"].self)
		again := views["b"].self
		again.Incarnation = "b-2"
		views["a"].mu.Lock()
		views["a"].peers["b"] = peerState{Box: again, member: true, lastSeen: time.Now()}
		views["a"].mu.Unlock()
		for _, box := range views["a"].Serving() {
			if box.Incarnation == views["b"].self.Incarnation {
				t.Error("a box that has restarted is listed with its earlier incarnation")
			}
		}
		if diff := cmp.Diff(map[time.Duration]int{0: 2, leaveTimeout / 2: 2, leaveTimeout: 1}, serving); diff != "" {
			t.Errorf("boxes that may serve callers, by the time since one announced that it leaves (-want +got):\n%s", diff)
		}
	})
}

// TestBoxThatVanishedMayServe checks that a box which left without an announcement to this one, since it did not know this
// one yet, is among those that may serve callers for a while.
func TestBoxThatVanishedMayServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		defer stopViews(views)
		time.Sleep(2 * time.Second)
		views["b"].Leave(context.Background())
		serving := map[bool]int{}
		for len(liveNames(views["a"])) > 1 {
			time.Sleep(50 * time.Millisecond)
		}
		serving[false] = len(views["a"].Serving())
		time.Sleep(vanishedTimeout)
		serving[true] = len(views["a"].Serving())
		if diff := cmp.Diff(map[bool]int{false: 2, true: 1}, serving); diff != "" {
			t.Errorf("boxes that may serve callers, by whether the time is over (-want +got):\n%s", diff)
		}
	})
}

// TestLeaveDuringHeartbeat guards against a heartbeat in flight that adds a box again after it has left: other
// boxes would take it for the owner of slots that it never claims.
func TestLeaveDuringHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.latency = 100 * time.Millisecond
		views := startViews(t, log, "a", "b")
		time.Sleep(50 * time.Millisecond)
		views["b"].Leave(context.Background())
		listed := 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			if log.isMember(views["b"]) {
				listed++
			}
		}
		if listed > 0 {
			t.Errorf("a box that left is still a member in %d of 20 checks", listed)
		}
		stopViews(views)
	})
}

// TestHeartbeatAppliedAfterLeave checks that a box that left removes itself again if the log applies an earlier
// heartbeat, whose answer was lost, only afterwards.
func TestHeartbeatAppliedAfterLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		views := startViews(t, log, "a", "b")
		time.Sleep(2 * time.Second)
		log.mu.Lock()
		log.joinDelay = time.Second
		log.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		log.mu.Lock()
		log.joinDelay = 0
		log.mu.Unlock()
		views["b"].Leave(context.Background())
		time.Sleep(1200 * time.Millisecond)
		if log.isMember(views["b"]) {
			t.Error("a box that left is still a member")
		}
		stopViews(views)
	})
}

// TestSlotsStayInTheirRegion guards against slots that move to boxes of another region, where programs that are bound to the
// slot's region can't go on, although a box of that region is live.
func TestSlotsStayInTheirRegion(t *testing.T) {
	v := New(work.Box{Name: "a"}, nil, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	v.SetSlotRegions(work.Regions{"z1": "north", "z2": "south"}, map[string]string{"0": "north", "1": "south"})
	all := []work.Box{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}}
	for n := range 20 {
		all = append(all, work.Box{Name: "c" + strconv.Itoa(n), Zone: "z2", Cores: 8, Link: 1000})
	}
	for len(all) > 0 {
		v.live = slices.Clone(all)
		for slot, region := range map[string]string{"0": "z1", "1": "z2"} {
			owners := v.Owners(slot, 4)
			own := slices.ContainsFunc(all, func(box work.Box) bool { return box.Zone == region })
			if len(owners) != min(4, len(all)) || (owners[0].Zone == region) != own {
				t.Errorf("%d boxes: slot %s belongs to %v", len(all), slot, owners)
			}
		}
		all = all[1:]
	}
}

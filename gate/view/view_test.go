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

// board is the fleet as the log keeps it.
type board struct {
	mu         sync.Mutex
	until      map[string]time.Time
	generation int64
	// deaf holds boxes whose calls fail; "all" stands for every box.
	deaf map[string]bool
	// untold holds boxes that are cut off once they have joined: the log tells them no members.
	untold map[string]bool
	// slow is added to every answer.
	slow time.Duration
	// late has heartbeats done so much later than they are given up; zero does them at once.
	late time.Duration
}

func newBoard() *board {
	return &board{until: map[string]time.Time{}, deaf: map[string]bool{}, untold: map[string]bool{}}
}

// ear is the log as one box reaches it.
type ear struct {
	board *board
	box   string
}

func (e ear) down() error {
	e.board.mu.Lock()
	slow := e.board.slow
	e.board.mu.Unlock()
	time.Sleep(slow)
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	if e.board.deaf[e.box] || e.board.deaf["all"] {
		return fault.Refuse(fault.LogUnavailable, "away")
	}
	return nil
}

// expire takes out members whose time is over.
func (b *board) expire() {
	for member, until := range b.until {
		if time.Now().After(until) {
			delete(b.until, member)
			b.generation++
		}
	}
}

func (e ear) Join(_ context.Context, member string, _ int64, ttl time.Duration) (int64, error) {
	if err := e.down(); err != nil {
		return 0, err
	}
	e.board.mu.Lock()
	late := e.board.late
	e.board.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { e.board.join(member, ttl) })
		return 0, fault.Fail(fault.LogUnavailable, "no answer")
	}
	return e.board.join(member, ttl), nil
}

func (b *board) join(member string, ttl time.Duration) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if _, ok := b.until[member]; !ok {
		b.generation++
	}
	b.until[member] = time.Now().Add(ttl)
	return b.generation
}

// named reports whether the log names the box as one of the fleet.
func (b *board) named(v *View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.until[v.self.Member()]
	return ok
}

func (e ear) Leave(_ context.Context, member string) error {
	if err := e.down(); err != nil {
		return err
	}
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	delete(e.board.until, member)
	e.board.generation++
	return nil
}

func (e ear) Members(context.Context, int64) ([]string, error) {
	if err := e.down(); err != nil {
		return nil, err
	}
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	if e.board.untold[e.box] {
		e.board.deaf[e.box] = true
		return nil, fault.Refuse(fault.LogUnavailable, "away")
	}
	e.board.expire()
	var members []string
	for member := range e.board.until {
		members = append(members, member)
	}
	return members, nil
}

func (b *board) set(box string, deaf bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaf[box] = deaf
}

// tellNothing cuts the box off once it has joined.
func (b *board) tellNothing(box string, untold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.untold[box] = untold
}

func begin(t *testing.T, b *board, names ...string) map[string]*View {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	views := map[string]*View{}
	for _, name := range names {
		v := New(work.Box{Name: name, Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: name + "-1"}, ear{board: b, box: name}, Usual(), quiet)
		if err := v.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		views[name] = v
	}
	return views
}

func end(views map[string]*View) {
	for _, v := range views {
		_ = v.Stop(context.Background()) // it never fails
	}
}

func names(v *View) []string {
	var list []string
	for _, box := range v.Live() {
		list = append(list, box.Name)
	}
	return list
}

func TestBoxesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b", "c")
		defer end(views)
		if views["a"].Settled() {
			t.Error("settled before it has listened")
		}
		time.Sleep(2 * time.Second)
		owner, _ := views["a"].Owner("slot-1")
		for name, v := range views {
			if diff := cmp.Diff([]string{"a", "b", "c"}, names(v)); diff != "" || !v.Settled() || !v.Fresh() {
				t.Errorf("%s sees (-want +got):\n%s", name, diff)
			}
			if got, _ := v.Owner("slot-1"); got != owner {
				t.Errorf("%s takes %s for the owner, not %s", name, got.Name, owner.Name)
			}
		}
	})
}

// TestBoxThatHasHeardOfNobody checks that a box which was cut off between its first heartbeat and the
// answer on who lives trusts no view of its own. It took itself for the only box, said that it was
// ready and claimed all slots, and its zone's callers were sent to it until the cut was over.
func TestBoxThatHasHeardOfNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b")
		defer end(views)
		time.Sleep(2 * time.Second)
		b.tellNothing("c", true)
		late := begin(t, b, "c")
		defer end(late)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if c := late["c"]; c.Settled() || c.Trusted() {
				t.Fatalf("a box that has heard of nobody is settled (%v) or trusted (%v), and sees %v", c.Settled(), c.Trusted(), names(c))
			}
		}
		b.tellNothing("c", false)
		b.set("c", false)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]string{"a", "b", "c"}, names(late["c"])); diff != "" || !late["c"].Settled() {
			t.Errorf("it sees (-want +got):\n%s", diff)
		}
	})
}

// TestRanksAreKept checks that who should own the slots is not worked out anew while the same boxes live: at each heartbeat that
// was some logarithms for each box and slot, on all boxes.
func TestRanksAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b", "c")
		defer end(views)
		time.Sleep(2 * time.Second)
		v := views["a"]
		before := v.Owners("slot-1", 2)
		time.Sleep(10 * time.Second) // heartbeats, and members that are read again
		if after := v.Owners("slot-1", 2); &before[0] != &after[0] {
			t.Error("the owners are ranked anew though the same boxes live")
		}
		late := begin(t, b, "d")
		defer end(late)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]string{"a", "b", "c", "d"}, names(v)); diff != "" {
			t.Errorf("after a box came (-want +got):\n%s", diff)
		}
	})
}

// TestOwnersAreRanked checks that without the owner of a slot the next rank is its owner, so
// that a call finds the holder while a box joins.
func TestOwnersAreRanked(t *testing.T) {
	v := New(work.Box{Name: "a"}, nil, Usual(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		v.live = append(v.live[:len(v.live):len(v.live)], work.Box{Name: name})
	}
	v.live = v.live[1:] // it was there from the start
	for _, slot := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
		ranks := v.Owners(slot, 4)
		all := v.live
		for rank, want := range ranks {
			got, _ := v.Owner(slot)
			if got != want {
				t.Errorf("slot %s: rank %d is %s, and %s once those before are gone", slot, rank, want.Name, got.Name)
			}
			v.live = slices.DeleteFunc(slices.Clone(v.live), func(box work.Box) bool { return box == got })
		}
		v.live = all
		if got := len(v.Owners(slot, 9)); len(ranks) != 4 || got != 6 {
			t.Errorf("slot %s: %d of 4 ranks, %d of 6", slot, len(ranks), got)
		}
	}
}

// TestSlotsLiveOnFastBoxes checks that most slots of a fleet with many slow boxes and a few fast ones live
// on the fast ones, where turns wait less for the processor, and that all boxes come to the same.
func TestSlotsLiveOnFastBoxes(t *testing.T) {
	v := New(work.Box{Name: "a"}, nil, Usual(), slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		t.Errorf("%d of %d slots live on slow boxes", slow, slots)
	}
	for name, n := range owned {
		if n > slots/20 {
			t.Errorf("%s owns %d slots", name, n)
		}
	}
}

func TestDeadBoxIsFound(t *testing.T) {
	for _, slow := range []time.Duration{0, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newBoard()
			b.slow = slow
			views := begin(t, b, "a", "b", "c")
			defer end(views)
			time.Sleep(4 * time.Second)
			_ = views["c"].Stop(context.Background())
			start := time.Now()
			for len(names(views["a"])) == 3 && time.Since(start) < 10*time.Second {
				time.Sleep(50 * time.Millisecond)
			}
			within := Usual().Hold + 2*Usual().Beat + 8*slow
			if took := time.Since(start); took > within {
				t.Errorf("found after %v, not within %v", took, within)
			}
		})
	}
}

// TestSlowLog checks that boxes do not lose each other while the log is slow.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b", "c")
		defer end(views)
		time.Sleep(3 * time.Second)
		b.mu.Lock()
		b.slow = 400 * time.Millisecond
		b.mu.Unlock()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for name, v := range views {
				if len(names(v)) != 3 {
					t.Fatalf("%s sees %v", name, names(v))
				}
			}
		}
	})
}

// TestBoxThatStartedAgain checks that the newer start is taken, and the one before can't be
// asked for slots once it can't be reached.
func TestBoxThatStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b")
		defer end(views)
		time.Sleep(2 * time.Second)
		_ = views["b"].Stop(context.Background())
		again := New(work.Box{Name: "b", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.2:80"), Incarnation: "b-2"}, ear{board: b, box: "b"}, Usual(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := again.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		views["b"] = again
		time.Sleep(3 * time.Second)
		if box, ok := views["a"].Find("b", "b-2"); !ok || len(names(views["a"])) != 2 {
			t.Errorf("%v, %v", box, names(views["a"]))
		}
	})
}

// TestLivingBoxThatIsNotReached checks that failed calls alone make nobody dead.
func TestLivingBoxThatIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b")
		defer end(views)
		time.Sleep(2 * time.Second)
		for range 100 {
			views["a"].Unreached(work.Box{Name: "b"})
			time.Sleep(50 * time.Millisecond)
			if diff := cmp.Diff([]string{"a", "b"}, names(views["a"])); diff != "" {
				t.Fatalf("boxes (-want +got):\n%s", diff)
			}
		}
		if !views["a"].JustUnreached(work.Box{Name: "b"}) {
			t.Error("not unreached just after a failed call")
		}
	})
}

// TestLogAway checks that nobody dies while the log is away nor just after, and that a box
// which cannot hear trusts nothing.
func TestLogAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b", "c")
		defer end(views)
		time.Sleep(3 * time.Second)
		b.set("all", true)
		time.Sleep(10 * time.Second)
		if views["a"].Settled() || views["a"].Fresh() || !views["a"].Trusted() {
			t.Error("a box that hears nothing takes its view for settled")
		}
		late := begin(t, b, "late")
		defer end(late)
		time.Sleep(2 * time.Second)
		if late["late"].Settled() || late["late"].Trusted() {
			t.Error("a box that began without the log takes its view for settled")
		}
		b.set("all", false)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if len(names(views["a"])) < 3 {
				t.Fatalf("boxes after the return: %v", names(views["a"]))
			}
			if late["late"].Settled() && len(names(late["late"])) < 4 {
				t.Fatalf("settled on %v", names(late["late"]))
			}
		}
	})
}

func TestLeavingBoxOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b")
		defer end(views)
		time.Sleep(2 * time.Second)
		views["b"].Leave(context.Background())
		views["a"].Left(views["b"].self)
		time.Sleep(time.Second)
		for _, v := range views {
			if diff := cmp.Diff([]string{"a"}, names(v)); diff != "" {
				t.Errorf("boxes (-want +got):\n%s", diff)
			}
		}
		if _, ok := views["a"].Find("b", "b-1"); !ok {
			t.Error("a leaving box can no longer be asked for its slots")
		}
		if _, ok := views["a"].Find("b", "b-0"); ok {
			t.Error("a start before is taken for the box")
		}
	})
}

// TestBoxThatLeavesWhileItJoins checks that a heartbeat under way does not bring a box back that
// has left: others would take it for the owner of slots that it never claims.
func TestBoxThatLeavesWhileItJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		b.slow = 100 * time.Millisecond
		views := begin(t, b, "a", "b")
		time.Sleep(50 * time.Millisecond)
		views["b"].Leave(context.Background())
		named := 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			if b.named(views["b"]) {
				named++
			}
		}
		if named > 0 {
			t.Errorf("a box that left is named in %d of 20 looks", named)
		}
		end(views)
	})
}

// TestHeartbeatThatIsDoneLate checks that a box which left takes itself out again if the log
// does a heartbeat from before, whose answer was lost, only afterwards.
func TestHeartbeatThatIsDoneLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard()
		views := begin(t, b, "a", "b")
		time.Sleep(2 * time.Second)
		b.mu.Lock()
		b.late = time.Second
		b.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		b.mu.Lock()
		b.late = 0
		b.mu.Unlock()
		views["b"].Leave(context.Background())
		time.Sleep(1200 * time.Millisecond)
		if b.named(views["b"]) {
			t.Error("a box that left is named")
		}
		end(views)
	})
}

package view

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// board is the topic of heartbeats.
type board struct {
	mu   sync.Mutex
	recs []work.Record
	// deaf holds boxes whose calls fail; gone drops the history once.
	deaf map[string]bool
	gone bool
}

// ear is the log as one box reaches it.
type ear struct {
	board *board
	box   string
}

func (e ear) down() error {
	if e.board.deaf[e.box] || e.board.deaf["all"] {
		return fault.Refuse(fault.LogUnavailable, "away")
	}
	return nil
}

func (e ear) Append(_ context.Context, _ work.Shard, _ work.Writer, recs []work.Record) error {
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	if err := e.down(); err != nil {
		return err
	}
	e.board.recs = append(e.board.recs, recs...)
	return nil
}

func (e ear) Newest(_ context.Context, _ work.Shard, each func(work.Record)) (int64, error) {
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	for _, rec := range e.board.recs {
		each(rec)
	}
	return int64(len(e.board.recs)), e.down()
}

func (e ear) Read(_ context.Context, _ work.Shard, from int64, _ time.Duration) (work.Page, error) {
	e.board.mu.Lock()
	defer e.board.mu.Unlock()
	if e.board.gone {
		e.board.gone = false
		return work.Page{}, fault.Refuse(fault.HistoryGone, "gone")
	}
	return work.Page{Records: e.board.recs[from:], Next: int64(len(e.board.recs))}, e.down()
}

func (b *board) set(box string, deaf bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaf[box] = deaf
}

func begin(t *testing.T, b *board, names ...string) map[string]*View {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	views := map[string]*View{}
	for _, name := range names {
		v := New(work.Box{Name: name, Incarnation: name + "-1"}, ear{board: b, box: name}, Usual(), quiet)
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
		b := &board{deaf: map[string]bool{}}
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

func TestDeadBoxIsFound(t *testing.T) {
	for _, unreached := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := &board{deaf: map[string]bool{}}
			views := begin(t, b, "a", "b", "c")
			defer end(views)
			time.Sleep(3 * time.Second)
			_ = views["c"].Stop(context.Background())
			within := Usual().Dead + Usual().Beat + Usual().Look
			if unreached {
				within = Usual().Doubt + Usual().Beat + Usual().Look
			}
			start := time.Now()
			for len(names(views["a"])) == 3 && time.Since(start) < 10*time.Second {
				if unreached {
					views["a"].Unreached(work.Box{Name: "c"})
				}
				time.Sleep(50 * time.Millisecond)
			}
			if took := time.Since(start); took > within {
				t.Errorf("found after %v, not within %v", took, within)
			}
			if !views["a"].Doubted(work.Box{Name: "c"}) && unreached && time.Since(start) < Usual().Doubt/2 {
				t.Error("not doubted after a failed call")
			}
		})
	}
}

// TestLivingBoxThatIsNotReached checks that failed calls alone make nobody dead.
func TestLivingBoxThatIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board{deaf: map[string]bool{}}
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
	})
}

// TestLogAway checks that nobody dies while the log is away nor just after, and that a box
// which cannot hear trusts nothing.
func TestLogAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &board{deaf: map[string]bool{}}
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
		b := &board{deaf: map[string]bool{}}
		views := begin(t, b, "a", "b")
		defer end(views)
		time.Sleep(2 * time.Second)
		views["b"].Leave(context.Background())
		b.mu.Lock()
		b.gone = true
		b.mu.Unlock()
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

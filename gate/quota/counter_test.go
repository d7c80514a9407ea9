package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/gate/work"
)

// singleBox implements CounterLocator for a fleet of one box.
type singleBox struct{ box work.Box }

func (s singleBox) QuotaCounter(string, string) (work.Box, bool) { return s.box, true }

// newFullCounter returns a started counter whose part is full.
func newFullCounter(t *testing.T) *Counter {
	t.Helper()
	self := work.Box{Name: "b", Zone: "a"}
	c := NewCounter(self, zones[:1], bounds, singleBox{self})
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	conf := work.NewConfig(1, nil, nil, work.Limits{})
	conf.Callers = work.NewWorkspaceIndex([]work.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	c.Update(time.Now(), conf)
	time.Sleep(20 * time.Second)
	return c
}

// grantAll returns how many calls the counter grants at once.
func grantAll(c *Counter) int {
	return c.Grant(time.Now(), GrantRequest{Workspace: "w", Want: 1000}).Granted
}

// TestStartsEmpty checks that a counter that just took over or was frozen starts with an empty part, since
// another box may have granted all calls before.
func TestStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullCounter(t)
		defer func() { _ = c.Stop(context.Background()) }()
		full := grantAll(c)
		if full < 20 {
			t.Errorf("%d calls at once from a full part", full)
		}
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		c.lastActive = time.Now().Add(-5 * time.Second) // simulates a freeze
		c.mu.Unlock()
		if got := grantAll(c); got != 0 {
			t.Errorf("%d calls right after a freeze", got)
		}
		time.Sleep(time.Second)
		if got := grantAll(c); got < 4 || got > 11 {
			t.Errorf("%d calls a second after a freeze", got)
		}
		c.Update(time.Now(), c.conf)
		delete(c.countingSince, "w")
		c.Update(time.Now(), c.conf)
		if got := grantAll(c); got > 1 {
			t.Errorf("%d calls from a counter that just took over", got)
		}
	})
}

// TestNewWorkspace checks that a workspace that was in no earlier configuration starts with a full part.
func TestNewWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullCounter(t)
		defer func() { _ = c.Stop(context.Background()) }()
		conf := work.NewConfig(2, nil, nil, work.Limits{})
		conf.Callers = work.NewWorkspaceIndex([]work.Workspace{{Name: "w", Rate: 10, Burst: 10}, {Name: "new", Rate: 10, Burst: 10}})
		c.Update(time.Now(), conf)
		if got := c.Grant(time.Now(), GrantRequest{Workspace: "new", Want: 10}).Granted; got != 10 {
			t.Errorf("%d of 10 calls granted", got)
		}
		if got := c.Grant(time.Now(), GrantRequest{Workspace: "gone", Want: 10}); got.IsCounter {
			t.Errorf("unknown workspace: %+v", got)
		}
	})
}

// TestNoWorkspaces checks that a counter stops counting when a configuration has no workspaces.
func TestNoWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullCounter(t)
		defer func() { _ = c.Stop(context.Background()) }()
		c.Update(time.Now(), work.NewConfig(2, nil, nil, work.Limits{}))
		if got := c.Grant(time.Now(), GrantRequest{Workspace: "w", Want: 1}); got.IsCounter {
			t.Errorf("counted without workspaces: %+v", got)
		}
	})
}

// withWorkspaces returns a configuration with the named workspaces.
func withWorkspaces(version int64, names ...string) *work.Config {
	var spaces []work.Workspace
	for _, name := range names {
		spaces = append(spaces, work.Workspace{Name: name, Rate: 10, Burst: 10})
	}
	conf := work.NewConfig(version, nil, nil, work.Limits{})
	conf.Callers = work.NewWorkspaceIndex(spaces)
	return conf
}

// TestRemovedWorkspaceIsDropped checks that a workspace which a configuration no longer contains leaves no state,
// whether other workspaces remain or not. Its part and the start of its counting were kept for ever.
func TestRemovedWorkspaceIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, rest := range [][]string{{"other"}, nil} {
			c := newFullCounter(t)
			grantAll(c)
			c.Update(time.Now(), withWorkspaces(2, rest...))
			if diff := cmp.Diff([]int{0, len(rest)}, []int{len(c.parts), len(c.countingSince)}); diff != "" {
				t.Errorf("%v remain: parts and counting starts (-want +got):\n%s", rest, diff)
			}
			time.Sleep(bounds.Window + removalLag)
			c.Update(time.Now(), withWorkspaces(2, rest...))
			if len(c.removedAt) > 0 {
				t.Errorf("%v remain: removals after a window: %v", rest, c.removedAt)
			}
			_ = c.Stop(context.Background()) // never fails
		}
	})
}

// TestReturningWorkspace checks that a workspace which is removed and soon comes back starts with an empty part,
// since the window still contains its earlier calls, and later with a full one.
func TestReturningWorkspace(t *testing.T) {
	for _, away := range []time.Duration{time.Second, bounds.Window + removalLag} {
		synctest.Test(t, func(t *testing.T) {
			c := newFullCounter(t)
			defer func() { _ = c.Stop(context.Background()) }()
			full := grantAll(c)
			c.Update(time.Now(), withWorkspaces(2))
			time.Sleep(away)
			c.Update(time.Now(), withWorkspaces(3, "w"))
			want := 0
			if away >= bounds.Window+removalLag {
				want = full
			}
			if diff := cmp.Diff(want, grantAll(c)); diff != "" {
				t.Errorf("calls granted at once after %v (-want +got):\n%s", away, diff)
			}
		})
	}
}

// TestQuotasDropRemovedWorkspace checks that a box drops its state of a removed workspace and of lost counters.
func TestQuotasDropRemovedWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(work.Box{Name: "b", Zone: "a"}, zones[:1], bounds, nil, nil, nil, nil)
		q.addPrefetched("w", 1)
		q.addPrefetched("other", 1)
		q.lostUntil["c"] = time.Now().Add(lostPause)
		q.Update(time.Now(), withWorkspaces(2, "other"))
		if diff := cmp.Diff([]int{1, 1}, []int{len(q.workspaces), len(q.lostUntil)}); diff != "" {
			t.Errorf("workspaces and lost counters (-want +got):\n%s", diff)
		}
		if !q.usePrefetched("other") {
			t.Error("the state of the remaining workspace was dropped")
		}
		time.Sleep(lostPause)
		q.Update(time.Now(), withWorkspaces(2, "other"))
		if len(q.lostUntil) > 0 {
			t.Errorf("lost counters: %v", q.lostUntil)
		}
	})
}

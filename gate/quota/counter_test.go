package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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

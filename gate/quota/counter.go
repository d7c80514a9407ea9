package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/work"
)

// GrantRequest asks the counter of a part of a workspace's quota for calls.
type GrantRequest struct {
	Workspace string `json:"workspace"`
	// Want is the number of calls requested, at least 1.
	Want int `json:"want"`
	// MayStartProgram reports that a program may begin with the first of these calls.
	MayStartProgram bool `json:"begins,omitempty"`
	// CancelProgram frees the calls that were planned for a program that did not begin. Such a request is
	// granted no calls.
	CancelProgram bool `json:"back,omitempty"`
}

// GrantReply is a counter's answer to a request.
type GrantReply struct {
	// IsCounter reports that the box is a counter of the workspace.
	IsCounter bool `json:"counts"`
	// Granted is the number of calls that may be made.
	Granted int `json:"granted,omitempty"`
	// AfterMillis is the delay in milliseconds after which to ask again if no calls are granted.
	AfterMillis int64 `json:"after_ms,omitempty"`
}

// maxAfter bounds the delay after which an exhausted counter is asked again.
const maxAfter = time.Minute

// limitTo returns the reply of another box to a request for want calls, with its numbers limited to what a counter may say.
func (r GrantReply) limitTo(want int) GrantReply {
	r.Granted = min(max(r.Granted, 0), want)
	r.AfterMillis = min(max(r.AfterMillis, 0), maxAfter.Milliseconds())
	return r
}

// CounterLocator finds the counters of workspaces.
type CounterLocator interface {
	// QuotaCounter returns the box that counts the workspace's quota in an availability zone.
	QuotaCounter(workspace, zone string) (work.Box, bool)
}

// Counter counts the parts of quotas that are assigned to this box.
type Counter struct {
	self    work.Box
	zones   []string
	bounds  Bounds
	locator CounterLocator

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// lastActive is the time of the latest check for a freeze of the process; zero before Start.
	lastActive time.Time
	conf       *work.Config
	parts      map[string]*part
	// countingSince holds the time from which this box counts each workspace. It is zero for a workspace that
	// was not in the previous configuration and was not removed shortly before, since no box can have granted
	// calls that count.
	countingSince map[string]time.Time
	// removedAt holds when workspaces were removed from the configuration; see recentlyRemoved.
	removedAt map[string]time.Time
}

// NewCounter returns the Counter of the box self; zones are all availability zones.
func NewCounter(self work.Box, zones []string, bounds Bounds, locator CounterLocator) *Counter {
	return &Counter{self: self, zones: zones, bounds: bounds, locator: locator, parts: map[string]*part{}, countingSince: map[string]time.Time{}, removedAt: map[string]time.Time{}}
}

const (
	// activityInterval is the time between two checks for a freeze of the process, and freezeThreshold the
	// gap between checks that counts as a freeze. freezeThreshold is shorter than the silence after which
	// other boxes replace this one as a counter.
	activityInterval = 250 * time.Millisecond
	freezeThreshold  = 600 * time.Millisecond
	// handoverOverlap is how long the previous counter may continue after another box has taken over: one
	// heartbeat, within which all boxes learn of the change.
	handoverOverlap = 300 * time.Millisecond
	// removalLag is how long other boxes may continue to grant calls of a workspace that is removed: the time
	// within which a new configuration is in force on all boxes.
	removalLag = 2 * time.Second
)

// Start starts the periodic check for freezes of the process.
func (c *Counter) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.recordActivity(time.Now())
	c.done.Go(func() { kernel.Every(ctx, activityInterval, func() { c.recordActivity(time.Now()) }) })
	return nil
}

// Stop ends the periodic check.
func (c *Counter) Stop(context.Context) error {
	c.cancel()
	c.done.Wait()
	return nil
}

// recordActivity checks for a freeze and is called at regular intervals. The first call only starts the
// detection.
func (c *Counter) recordActivity(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastActive.IsZero() {
		c.lastActive = now
	}
	c.resetAfterFreeze(now)
}

// resetAfterFreeze empties all parts if the process was frozen, since another box may have counted them in
// the meantime and may still do so. c.mu must be held.
func (c *Counter) resetAfterFreeze(now time.Time) {
	if c.lastActive.IsZero() {
		return
	}
	if now.Sub(c.lastActive) > freezeThreshold {
		clear(c.parts)
		for name := range c.countingSince {
			c.countingSince[name] = now.Add(handoverOverlap)
		}
	}
	c.lastActive = now
}

// Update applies a configuration and determines, by the locator, which workspaces this box counts.
func (c *Counter) Update(now time.Time, conf *work.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := workspacesOf(c.conf)
	started := c.conf == nil
	c.conf = conf
	spaces := workspacesOf(conf)
	c.dropRemoved(now, before, spaces)
	for name := range spaces {
		counter, ok := c.locator.QuotaCounter(name, c.self.Zone)
		if !ok || counter.Name != c.self.Name {
			delete(c.countingSince, name)
			delete(c.parts, name)
			continue
		}
		if _, already := c.countingSince[name]; already {
			continue
		}
		c.countingSince[name] = time.Time{}
		if _, known := before[name]; started || known || c.recentlyRemoved(now, name) {
			c.countingSince[name] = now.Add(handoverOverlap)
		}
	}
}

// workspacesOf returns the workspaces of a configuration, which may be nil.
func workspacesOf(conf *work.Config) map[string]work.Workspace {
	if conf == nil || conf.Callers == nil {
		return nil
	}
	return conf.Callers.All()
}

// dropRemoved drops the state of workspaces that were in the previous configuration and are not in the new one.
func (c *Counter) dropRemoved(now time.Time, before, spaces map[string]work.Workspace) {
	for name := range before {
		if _, kept := spaces[name]; !kept {
			c.removedAt[name] = now
			delete(c.countingSince, name)
			delete(c.parts, name)
		}
	}
	for name := range c.removedAt {
		if !c.recentlyRemoved(now, name) {
			delete(c.removedAt, name)
		}
	}
}

// recentlyRemoved reports whether a window may still contain calls that were granted before the workspace was
// removed.
func (c *Counter) recentlyRemoved(now time.Time, name string) bool {
	at, ok := c.removedAt[name]
	return ok && now.Sub(at) < c.bounds.Window+removalLag
}

// Grant answers a request for calls.
func (c *Counter) Grant(now time.Time, ask GrantRequest) GrantReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetAfterFreeze(now)
	since, counts := c.countingSince[ask.Workspace]
	if !counts {
		return GrantReply{}
	}
	space, known := c.conf.Callers.WorkspaceByName(ask.Workspace)
	zones := c.bounds.countingZones(space, c.zones)
	if !known || !slices.Contains(zones, c.self.Zone) {
		return GrantReply{}
	}
	p, ok := c.parts[ask.Workspace]
	if !ok {
		p = newPart(since)
		c.parts[ask.Workspace] = p
	}
	if ask.CancelProgram {
		p.cancelProgram()
		return GrantReply{IsCounter: true}
	}
	granted, after := p.grant(now, c.bounds.partLimits(space, len(zones)), ask.Want, ask.MayStartProgram)
	return GrantReply{IsCounter: true, Granted: granted, AfterMillis: after.Milliseconds()}
}

package target

import (
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// Bounds are what holds for calls at any replica.
type Bounds struct {
	// Regions tells the region of each availability zone.
	Regions work.Regions
	// Cold bounds what cold replicas get.
	Cold sched.ColdBounds
}

// clockSlack is how far the clocks of a replica and of this box may differ.
const clockSlack = 500 * time.Millisecond

// Bind sets the bounds. It must be called before the first lease.
func (t *Targets) Bind(bounds Bounds) {
	t.bounds = bounds
}

// OnWarming asks may whether this box is the one of its availability zone that sends calls to a cold replica. It
// must be called before the first lease.
func (t *Targets) OnWarming(may func(rep work.Replica, model bool) bool) {
	t.warms = may
}

// Evacuate takes the availability zones whose replicas get nothing further until they are taken back.
func (t *Targets) Evacuate(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
}

// barred reports that the call must not go to the replica, even if no other is left.
func (t *Targets) barred(now time.Time, s *state, svc work.Service, ask Ask) bool {
	if t.evacuated[s.Zone] || !t.bounds.Regions.Allow(ask.Regions, s.Zone) {
		return true
	}
	return s.cold(now, svc) && !t.mayWarm(now, s, svc)
}

// cold reports that the replica bears few calls: it said so, or it has started so lately that it can't be known to
// be warm. Clocks may jump, so that a start counts as late only for a while from when it was listed.
func (s *state) cold(now time.Time, svc work.Service) bool {
	if now.Before(s.coldUntil) {
		return true
	}
	if svc.ColdFor <= 0 || s.Born.IsZero() || now.Sub(s.listedAt) > svc.ColdFor+clockSlack {
		return false
	}
	return now.Sub(s.Born) < svc.ColdFor+clockSlack
}

// mayWarm reports whether this box may send the cold replica one call more.
func (t *Targets) mayWarm(now time.Time, s *state, svc work.Service) bool {
	if svc.ColdRate <= 0 {
		return true
	}
	most := t.bounds.Cold.Share(svc.ColdRate, len(t.bounds.Regions))
	return s.sent.Free(now, most) && t.warms(s.Replica, t.model(s))
}

// service is what is configured of the service.
func (t *Targets) service(name string) work.Service {
	if t.conf == nil {
		return work.Service{}
	}
	return t.conf.Services[name]
}

// cool notes how long the replica says that it stays cold.
func (s *state) cool(now time.Time) {
	if until := now.Add(s.Cold); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

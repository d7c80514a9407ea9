package target

import (
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// Bounds limits which replicas get calls, and how many.
type Bounds struct {
	// Regions maps each availability zone to its region.
	Regions work.Regions
	// Cold limits the calls to each cold replica.
	Cold sched.ColdLimits
}

// maxClockSkew is the largest expected difference between the clocks of a replica and of this box.
const maxClockSkew = 500 * time.Millisecond

// SetBounds sets the bounds. It must be called before the first lease.
func (t *Targets) SetBounds(bounds Bounds) {
	t.bounds = bounds
}

// SetWarmingCheck registers allowed, which reports whether this box is the one in its availability zone
// that sends calls to a cold replica. It must be called before the first lease.
func (t *Targets) SetWarmingCheck(allowed func(rep work.Replica, model bool) bool) {
	t.warmsReplica = allowed
}

// SetEvacuated sets the availability zones whose replicas get no new calls, in place of those set before.
func (t *Targets) SetEvacuated(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
}

// excluded reports whether the call must not go to the replica, even if no other is available.
func (t *Targets) excluded(now time.Time, s *state, svc work.Service, ask CallRequest) bool {
	if t.evacuated[s.Zone] || !t.bounds.Regions.Allow(ask.Regions, s.Zone) {
		return true
	}
	return s.cold(now, svc) && !t.mayWarm(now, s, svc)
}

// cold reports whether the replica may still be warming up, so that it can take only few calls: its entry
// says so, or it started recently. Since clocks may jump, the start time counts only for a while after
// the replica was listed.
func (s *state) cold(now time.Time, svc work.Service) bool {
	if now.Before(s.coldUntil) {
		return true
	}
	if svc.WarmupTime <= 0 || s.StartedAt.IsZero() || now.Sub(s.listedAt) > svc.WarmupTime+maxClockSkew {
		return false
	}
	return now.Sub(s.StartedAt) < svc.WarmupTime+maxClockSkew
}

// mayWarm reports whether this box may send the cold replica one more call.
func (t *Targets) mayWarm(now time.Time, s *state, svc work.Service) bool {
	if svc.WarmupRate <= 0 {
		return true
	}
	maxCalls := t.bounds.Cold.CallsPerBox(svc.WarmupRate, len(t.bounds.Regions))
	return s.coldCalls.Allows(now, maxCalls) && t.warmsReplica(s.Replica, t.isModel(s))
}

// serviceConfig returns the configuration of the service, or a zero value if there is none.
func (t *Targets) serviceConfig(name string) work.Service {
	if t.conf == nil {
		return work.Service{}
	}
	return t.conf.Services[name]
}

// extendCold extends the cold phase to the end that the replica's entry announces. It never shortens
// the phase.
func (s *state) extendCold(now time.Time) {
	if until := now.Add(s.WarmupLeft); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

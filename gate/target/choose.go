package target

import (
	"slices"
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// loadMaxAge is how long a load report is used.
const loadMaxAge = 2 * time.Second

// choice is a selected replica, with the estimate of its state and the expected cost of the call there.
type choice struct {
	state    *state
	estimate sched.ReplicaState
	cost     time.Duration
}

// choose returns a replica with nearly the lowest expected cost and the number of candidates. Suspect, ejected and
// silent replicas are used only if no other of the service is available, and other services of the route
// only after those.
func (t *Targets) choose(now time.Time, ask CallRequest, service string) (choice, int) {
	best, candidates := t.pickReplica(now, ask, service, false)
	if best.state == nil {
		best, candidates = t.pickReplica(now, ask, service, true)
	}
	if best.state != nil || len(ask.Services) < 2 {
		return best, candidates
	}
	for _, split := range ask.Services {
		if split.Service == service || split.Weight == 0 {
			continue
		}
		if best, candidates = t.pickReplica(now, ask, split.Service, true); best.state != nil {
			return best, candidates
		}
	}
	return best, candidates
}

// pickService selects a service at random, by the weights of the route.
func (t *Targets) pickService(splits []work.Split) string {
	sum := 0
	for _, split := range splits {
		sum += split.Weight
	}
	if sum == 0 {
		return splits[0].Service
	}
	pick := t.rng.IntN(sum)
	for _, split := range splits {
		if pick < split.Weight {
			return split.Service
		}
		pick -= split.Weight
	}
	return splits[len(splits)-1].Service
}

// pickReplica selects among the usable replicas of a service, and returns the number of them. With
// lastResort, it includes suspect, ejected and silent ones.
func (t *Targets) pickReplica(now time.Time, ask CallRequest, service string, lastResort bool) (choice, int) {
	t.candidates, t.costs = t.candidates[:0], t.costs[:0]
	ejector := t.ejectorFor(service)
	lapsed := t.entriesLapsed(service)
	svc := t.serviceConfig(service)
	call := sched.Call{RunsModel: ask.Prompt != nil, UnitTime: t.unitTime(ask.WorkKind)}
	utilization := 0.0
	if call.RunsModel {
		call.PromptTokens = ask.Prompt.Tokens
		utilization = t.slotUtilization(now, service)
	}
	estimates := &t.admissionFor(service).Estimates
	for _, s := range t.services[service] {
		if s.Draining || s.inFlight >= t.connectionShare(svc.Connections, s.level) || (s.missing && !lapsed) || slices.Contains(ask.Exclude, s.ID) || !ask.allows(s.Replica) || t.excluded(now, s, svc, ask) {
			continue
		}
		if !lastResort && (now.Before(s.suspectUntil) || ejector.Ejected(now, s.ID) || s.silence.Silent(now)) {
			continue
		}
		t.candidates = append(t.candidates, s)
		t.costs = append(t.costs, estimates.Cost(call, t.estimate(now, ask, s, utilization, lastResort)))
	}
	pick := sched.PickNearCheapest(t.costs, t.rng)
	if pick < 0 {
		return choice{}, 0
	}
	return choice{state: t.candidates[pick], estimate: t.estimate(now, ask, t.candidates[pick], utilization, lastResort), cost: t.costs[pick]}, len(t.candidates)
}

// allows reports whether the replica is among those to choose from.
func (r CallRequest) allows(rep work.Replica) bool {
	if len(r.only) == 0 && len(r.avoid) == 0 {
		return true
	}
	run := rep.RunID()
	return (len(r.only) == 0 || slices.Contains(r.only, run)) && !slices.Contains(r.avoid, run)
}

// lapsedDivisor sets the threshold of entriesLapsed: fewer than one in lapsedDivisor replicas is listed.
// Planned work replaces only a few replicas at a time, so the others cannot all have left.
const lapsedDivisor = 4

// entriesLapsed reports whether so many entries of a service are missing that they probably expired in a
// log outage while the replicas still run. If not, missing replicas count as gone, since replicas that
// have left must get no new calls.
func (t *Targets) entriesLapsed(service string) bool {
	all, listed := 0, 0
	for _, s := range t.services[service] {
		if s.Draining {
			continue
		}
		all++
		if !s.missing {
			listed++
		}
	}
	return listed*lapsedDivisor < all
}

// estimate returns the input of the cost model for the call at the replica. utilization is the share of
// slots in use at those replicas of its service that report. With trusted, calls without a response say nothing about
// what the replica caches: if they wait at all replicas, they need not be the reason.
func (t *Targets) estimate(now time.Time, ask CallRequest, s *state, utilization float64, trusted bool) sched.ReplicaState {
	age := now.Sub(s.loadAt)
	est := sched.ReplicaState{
		InFlight: s.inFlight, InFlightAtReport: s.inFlightAtReport, Slots: s.Slots, Reported: age <= loadMaxAge, ReportAge: age,
		Placers: 1 + (t.placers-1)>>s.level, AverageUtilization: utilization, Running: s.load.Running, Waiting: s.load.Waiting, Slowdown: s.slowdown, FailureRate: s.failureRate(now), OtherZone: s.Zone != t.zone,
	}
	if ask.Prompt != nil {
		if trusted || !s.doubtsCache(now) {
			est.CachedTokens = t.cachedTokens(now, ask, s)
		}
		return est
	}
	est.Connected = s.pool != nil && s.pool.HasIdle()
	return est
}

// slotUtilization returns the share of slots in use at the replicas of a service that report, zero if
// none does. Calls that wait at full replicas are not counted, since they say nothing about others.
func (t *Targets) slotUtilization(now time.Time, service string) float64 {
	totals := t.loadTotals(now, service)
	return float64(totals.usedSlots) / float64(max(totals.slots, 1))
}

// cachedTokens estimates how many tokens of the prompt are in the replica's cache, as the cost counts them:
// fewer where the shared parts should not stay.
func (t *Targets) cachedTokens(now time.Time, ask CallRequest, s *state) int {
	own := ask.CachedTokens[s.RunID()]
	var cached int
	if prefixes := t.assignedPrefixes(s.Service); prefixes != nil {
		moves := own == 0 && len(ask.CachedTokens) > 0
		cached = s.cachedPrefixAt(now, prefixes, ask.Prompt.Parts).ranked(s.Zone != t.zone, moves)
	} else {
		cached = s.cachedPartTokens(now, ask.Prompt.Parts)
	}
	return min(max(own, cached), ask.Prompt.Tokens)
}

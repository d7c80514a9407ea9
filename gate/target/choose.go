package target

import (
	"slices"
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

// loadFor is how long a replica's own report is used.
const loadFor = 2 * time.Second

// choice is a candidate with its cost.
type choice struct {
	state  *state
	belief sched.Belief
	score  time.Duration
}

// choose returns the replica of least expected cost, drawn among those near to it, and the
// number of candidates. Avoided and suspect replicas are taken only if no other is left.
func (t *Targets) choose(now time.Time, ask Ask, service string) (choice, int) {
	best, among := t.among(now, ask, service, false)
	if best.state == nil {
		best, among = t.among(now, ask, service, true)
	}
	if best.state != nil || len(ask.Services) < 2 {
		return best, among
	}
	for _, split := range ask.Services {
		if split.Service == service || split.Weight == 0 {
			continue
		}
		if best, among = t.among(now, ask, split.Service, true); best.state != nil {
			return best, among
		}
	}
	return best, among
}

// draw chooses a service by the weights of a route.
func (t *Targets) draw(splits []work.Split) string {
	sum := 0
	for _, split := range splits {
		sum += split.Weight
	}
	if sum == 0 {
		return splits[0].Service
	}
	at := t.rng.IntN(sum)
	for _, split := range splits {
		if at < split.Weight {
			return split.Service
		}
		at -= split.Weight
	}
	return splits[len(splits)-1].Service
}

func (t *Targets) among(now time.Time, ask Ask, service string, desperate bool) (choice, int) {
	t.found, t.costs = t.found[:0], t.costs[:0]
	ejector := t.eject(service)
	lapsed := t.lapsed(service)
	svc := t.service(service)
	call := sched.Call{Model: ask.Prompt != nil, Usual: t.usually(ask.Work)}
	usualLoad := 0.0
	if call.Model {
		call.Prompt = ask.Prompt.Tokens
		usualLoad = t.placesTaken(now, service)
	}
	figures := &t.admission(service).Figures
	for _, s := range t.services[service] {
		if s.Draining || s.busy >= t.part(svc.Connections, s.level) || (s.missing && !lapsed) || slices.Contains(ask.Avoid, s.ID) || t.barred(now, s, svc, ask) {
			continue
		}
		if !desperate && (now.Before(s.suspect) || ejector.Ejected(now, s.ID)) {
			continue
		}
		t.found = append(t.found, s)
		t.costs = append(t.costs, figures.Cost(call, t.belief(now, ask, s, usualLoad)))
	}
	at := sched.PickNear(t.costs, t.rng)
	if at < 0 {
		return choice{}, 0
	}
	return choice{state: t.found[at], belief: t.belief(now, ask, t.found[at], usualLoad), score: t.costs[at]}, len(t.found)
}

// lapsedShare is the part of a service, one in so many, below which the listed replicas are too
// few for the rest to have left: planned work replaces replicas a few at a time.
const lapsedShare = 4

// lapsed reports that so many entries of a service went that they rather lapsed with the log than
// left with their replicas. Otherwise those that are missing count as gone: a box that heard
// nothing for a while can't tell its own trouble from the log's, and what left meanwhile must
// get nothing new.
func (t *Targets) lapsed(service string) bool {
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
	return listed*lapsedShare < all
}

// belief is what is believed of the replica as to the call. UsualLoad is the part of places taken at those
// of its service that report.
func (t *Targets) belief(now time.Time, ask Ask, s *state, usualLoad float64) sched.Belief {
	age := now.Sub(s.loadAt)
	b := sched.Belief{
		Busy: s.busy, BusyThen: s.busyThen, Slots: s.Slots, Reported: age <= loadFor, Age: age,
		Placers: 1 + (t.placers-1)>>s.level, UsualLoad: usualLoad, Running: s.load.Running, Waiting: s.load.Waiting, Slow: s.slow, Failing: s.failing(now), Far: s.Zone != t.zone,
	}
	if ask.Prompt != nil {
		b.Cached = t.cached(now, ask, s)
		return b
	}
	b.Connected = s.pool != nil && s.pool.Connected()
	return b
}

// placesTaken is the part of their places that is taken at the replicas of a service that report, zero if none
// does. Calls that wait at one say nothing of the others.
func (t *Targets) placesTaken(now time.Time, service string) float64 {
	r := t.reported(now, service)
	return float64(r.taken) / float64(max(r.places, 1))
}

// cached estimates how many tokens of the prompt the replica holds.
func (t *Targets) cached(now time.Time, ask Ask, s *state) int {
	return min(max(ask.Seen[s.Life()], s.holds(now, ask.Prompt.Parts)), ask.Prompt.Tokens)
}

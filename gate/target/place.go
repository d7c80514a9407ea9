package target

import (
	"slices"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/crash"
)

// Take selects a replica and takes a place there. It fails with NoTarget if no replica can take the call, and with
// RequestBlocked if replicas have crashed under earlier attempts of the request.
func (t *Targets) Take(ask CallRequest) (*Lease, error) {
	attempt, err := t.crashes.Begin(ask.Request)
	if err != nil {
		return nil, err
	}
	lease, err := t.place(ask, attempt)
	if err != nil {
		attempt.End(crash.NotRun, true)
		return nil, err
	}
	return lease, nil
}

// RefusesRequest reports whether err, of Take, refuses the request whatever replicas there are. Its Retry-After delay
// must be passed on.
func RefusesRequest(err error) bool {
	return fault.Is(err, fault.RequestBlocked) || (err != nil && fault.From(err).RetryAfter > 0)
}

// place selects a replica for the attempt and takes a place there. If possible, it is one that the attempt prefers and none
// that it avoids.
func (t *Targets) place(ask CallRequest, attempt *crash.Attempt) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	service := t.pickService(ask.Services)
	if ask.Prompt != nil {
		t.updatePrefixes(now, service)
	}
	best, candidates := t.chooseApart(now, ask, service, attempt)
	if best.state == nil {
		best, candidates = t.choose(now, ask, service)
	}
	if best.state == nil {
		return nil, fault.Refuse(fault.NoTarget, "no replica can take the call")
	}
	lease := t.lease(now, ask, best, candidates)
	lease.attempt = attempt
	attempt.Place(lease.Replica)
	return lease, nil
}

// chooseApart chooses among the replicas that the attempt prefers, and otherwise among those that it does not avoid. It
// returns no choice if the attempt has no such wishes, or if these replicas can't take the call.
func (t *Targets) chooseApart(now time.Time, ask CallRequest, service string, attempt *crash.Attempt) (choice, int) {
	avoid := attempt.Avoid()
	if prefer := attempt.Prefer(); len(prefer) > 0 {
		if best, candidates := t.chooseTogether(now, ask, service, prefer); best.state != nil {
			return best, candidates
		}
		avoid = append(avoid, prefer...)
	}
	if len(avoid) == 0 {
		return choice{}, 0
	}
	apart := ask
	apart.avoid = avoid
	return t.choose(now, apart, service)
}

// chooseTogether chooses among the replicas at which other attempts of the request are in progress. It returns no choice
// if these don't respond, so that the request is sent to one more replica, unless the request may be the reason. A request
// that makes replicas hang leaves other calls there unanswered too, so that it is never sent to more than one replica beyond
// crash.MaxTogether. runs is sorted.
func (t *Targets) chooseTogether(now time.Time, ask CallRequest, service string, runs []string) (choice, int) {
	together := ask
	together.only = runs
	if best, candidates := t.pickReplica(now, together, service, false); best.state != nil {
		return best, candidates
	}
	for _, split := range ask.Services {
		if split.Service == service || split.Weight == 0 {
			continue
		}
		if best, candidates := t.pickReplica(now, together, split.Service, false); best.state != nil {
			return best, candidates
		}
	}
	if t.awaitOnly(runs) >= crash.MaxTogether || len(slices.Compact(runs)) > crash.MaxTogether {
		return t.choose(now, together, service)
	}
	return choice{}, 0
}

// awaitOnly returns the number of replicas that leave nothing unanswered but attempts of one request. runs lists the
// replica of each of these attempts, sorted.
func (t *Targets) awaitOnly(runs []string) int {
	only := 0
	for len(runs) > 0 {
		run, attempts := runs[0], 0
		for len(runs) > 0 && runs[0] == run {
			attempts, runs = attempts+1, runs[1:]
		}
		if s := t.byRun(run); s != nil && s.silence.Unanswered() <= attempts {
			only++
		}
	}
	return only
}

// byRun returns the replica with the work.Replica.RunID, or nil.
func (t *Targets) byRun(run string) *state {
	for _, s := range t.byID {
		if s.RunID() == run {
			return s
		}
	}
	return nil
}

// lease takes a place at the selected replica.
func (t *Targets) lease(now time.Time, ask CallRequest, best choice, candidates int) *Lease {
	s := best.state
	if s.pool == nil {
		s.pool = t.opener.Open(s.Replica, t.maxConnections(s))
	}
	s.inFlight++
	s.awaited++
	expected := t.expectedResponse(ask, s.Service, best.estimate)
	s.silence.Sent(now, expected)
	if s.cold(now, t.serviceConfig(s.Service)) {
		s.coldCalls.Record(now)
	}
	l := &Lease{
		Replica: s.Replica, CachedTokens: best.estimate.CachedTokens, ExpectedCost: best.cost, Candidates: candidates,
		targets: t, state: s, ask: ask, startedAt: now, expected: expected, lightLoad: best.estimate.LightlyLoaded(),
	}
	if ask.Prompt != nil {
		t.recordPrefixUse(now, l, best.estimate)
		s.lastTurnAt = now
		s.rememberParts(now, ask.Prompt.Parts)
		t.admissionFor(s.Service).TurnStarted(now, ask.Turn)
	}
	return l
}

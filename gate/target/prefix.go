package target

import (
	"math"
	"time"

	"mulleingate.dev/gate/sched"
	"mulleingate.dev/gate/work"
)

const (
	// unpreferredShare is the share of a prefix that counts as cached at a replica which is not preferred
	// although this box sent the prefix there recently, and at one that is preferred in another zone. It keeps
	// calls at the preferred replicas of the box's zone while these have room, so that the others evict the
	// prefix and programs do not depend on two zones.
	unpreferredShare = 0.8
	// unpreferredTTL is how long a replica that is not preferred is assumed to keep a shared part that this
	// box sent there. With prompts prefilled at a fifth of an engine's rate, its memory is replaced within
	// about 5 s.
	unpreferredTTL = 3 * time.Second
	// overflowShare is the share of a prefix that counts as cached at the first replica after the preferred
	// ones; it halves with each further one. It makes all boxes overflow to the same replicas.
	overflowShare = 0.1
	// movedShare multiplies the cached part of a prompt at replicas other than those that cache the
	// program's earlier turns. Since several replicas cache the prefix, short differences in load would
	// otherwise move programs: in a simulated zone, 7 to 20 turns of a hundred moved, instead of one or two.
	movedShare = 0.7
)

// updatePrefixes computes the assignment of the service's shared prompt prefixes again if it is due. A service
// has one only if the configuration gives the memory of its replicas.
func (t *Targets) updatePrefixes(now time.Time, service string) {
	svc := t.serviceConfig(service)
	if svc.Engine == nil || svc.Engine.CacheTokens <= 0 {
		delete(t.prefixes, service)
		return
	}
	prefixes, ok := t.prefixes[service]
	if !ok {
		prefixes = sched.NewPrefixes()
		t.prefixes[service] = prefixes
	}
	if !prefixes.Due(now) {
		return
	}
	ejector, lapsed := t.ejectorFor(service), t.entriesLapsed(service)
	replicas := make([]sched.PrefixReplica, 0, len(t.services[service]))
	for _, s := range t.services[service] {
		if s.Draining || (s.missing && !lapsed) || t.evacuated[s.Zone] || now.Before(s.suspectUntil) || ejector.Ejected(now, s.ID) || s.silence.Silent(now) || s.cold(now, svc) {
			continue
		}
		replicas = append(replicas, sched.PrefixReplica{ID: s.ID, Zone: s.Zone, Slowdown: s.slowdown})
	}
	prefixes.Assign(now, svc.Engine.CacheTokens, replicas)
}

// cachedPrefix is what a replica is assumed to cache of a prompt's parts, in tokens.
type cachedPrefix struct {
	// claimed is what should be cached, and tokens that less what observations contradict.
	claimed, tokens int
	// sent is what this box sent there recently.
	sent int
	// shared is the length of the shared parts, up to the end of the one with ID lastShared.
	shared     int
	lastShared string
	rank       sched.PrefixRank
}

// assignedPrefixes returns the assignment of the service's prefixes, or nil if they are not assigned.
func (t *Targets) assignedPrefixes(service string) *sched.Prefixes {
	if prefixes, ok := t.prefixes[service]; ok && prefixes.Active() {
		return prefixes
	}
	return nil
}

// cachedPrefixAt estimates how many leading tokens of a prompt the replica caches. A preferred replica is
// assumed to cache a shared part and all parts before it.
func (s *state) cachedPrefixAt(now time.Time, prefixes *sched.Prefixes, parts []work.Part) cachedPrefix {
	var cached cachedPrefix
	leading := 0
	for ; leading < len(parts); leading++ {
		rank, ok := prefixes.Rank(parts[leading].ID, s.ID)
		if !ok {
			break
		}
		cached.shared += parts[leading].Tokens
		cached.lastShared, cached.rank = parts[leading].ID, rank
		if rank.Preferred && !s.doubtsPart(parts[leading].ID) {
			cached.claimed = cached.shared
		}
	}
	for i, part := range parts {
		ttl := promptPartTTL
		if i < leading && !cached.rank.Preferred {
			ttl = unpreferredTTL
		}
		tokens, all := s.sentPartTokens(now, part, ttl)
		cached.sent += tokens
		if !all {
			break
		}
	}
	cached.claimed = max(cached.claimed, cached.sent)
	cached.tokens = cached.claimed
	if use, ok := s.prefixUses[cached.lastShared]; ok {
		use.evaluate()
		cached.tokens -= int(use.currentDoubt(now) * float64(min(cached.claimed, cached.shared)))
	}
	return cached
}

// ranked returns the cached tokens as the cost counts them, so that calls go to the preferred replicas of the
// box's own zone first. moves is set if another replica caches the program's earlier turns.
func (c cachedPrefix) ranked(otherZone, moves bool) int {
	cached := float64(min(c.tokens, c.shared))
	if otherZone || !c.rank.Preferred {
		cached *= unpreferredShare
	}
	if !c.rank.Preferred {
		cached += overflowShare * math.Exp2(-float64(c.rank.Overflow)) * float64(c.shared)
	}
	if moves {
		cached *= movedShare
	}
	return max(0, c.tokens-c.shared) + int(cached)
}

// prefixUse is what this box observed of the use of a shared part at a replica.
type prefixUse struct {
	// last is the last call that should find the part cached, nil once its first event has been evaluated. The
	// event is late if it takes longer than limit.
	last  *Lease
	limit time.Duration
	// doubt is the share of the part that does not count as cached, as of doubtAt.
	doubt   float64
	doubtAt time.Time
}

const (
	// doubtStep is added to the doubt by a late first event, up to maxDoubt; a timely one removes it. It
	// halves in doubtHalfLife, so that a replica that gets no calls for it is tried again.
	doubtStep     = 0.25
	maxDoubt      = 0.75
	doubtHalfLife = 2 * time.Second
	// maxPrefixUses bounds the parts of which the use is remembered for a replica.
	maxPrefixUses = 256
)

// currentDoubt returns the doubt, decayed to now.
func (u *prefixUse) currentDoubt(now time.Time) float64 {
	if u.doubt == 0 {
		return 0
	}
	return u.doubt * math.Exp2(-now.Sub(u.doubtAt).Seconds()/doubtHalfLife.Seconds())
}

// evaluate rates the last call if its first event has arrived.
func (u *prefixUse) evaluate() {
	if u.last == nil || u.last.firstEventAfter == 0 {
		return
	}
	at := u.last.startedAt.Add(u.last.firstEventAfter)
	if u.last.firstEventAfter > u.limit {
		u.doubt = min(u.currentDoubt(at)+doubtStep, maxDoubt)
	} else {
		u.doubt = 0
	}
	u.doubtAt, u.last = at, nil
}

// recordPrefixUse records a call that is placed: its demand, and what its first event will show. It must be
// called before the parts are recorded as sent.
func (t *Targets) recordPrefixUse(now time.Time, l *Lease, est sched.ReplicaState) {
	s, ask := l.state, l.ask
	prefixes := t.prefixes[s.Service]
	if prefixes == nil {
		return
	}
	prefixes.Observe(now, ask.Turn.Program, ask.Prompt.Parts)
	if !prefixes.Active() {
		return
	}
	cached, own := s.cachedPrefixAt(now, prefixes, ask.Prompt.Parts), ask.CachedTokens[s.RunID()]
	l.CachedTokens = min(max(own, cached.tokens), ask.Prompt.Tokens)
	if cached.tokens > max(own, cached.sent) || cached.tokens < cached.claimed {
		l.lightLoad = false // how much is prefilled is too uncertain to estimate the engine's speed by
	}
	if cached.shared > 0 && cached.claimed >= cached.shared && own < cached.shared {
		t.watchFirstEvent(l, est, cached)
	}
}

// watchFirstEvent records a call whose first event shows whether the replica had the shared parts in its
// cache. A replica under load shows nothing, since calls wait there for other reasons.
func (t *Targets) watchFirstEvent(l *Lease, est sched.ReplicaState, cached cachedPrefix) {
	s := l.state
	use, ok := s.prefixUses[cached.lastShared]
	if !ok {
		if s.prefixUses == nil || len(s.prefixUses) >= maxPrefixUses {
			s.prefixUses = map[string]*prefixUse{}
		}
		use = &prefixUse{}
		s.prefixUses[cached.lastShared] = use
	}
	if !est.Reported || est.Waiting > 0 || 2*(est.Running+est.InFlight-est.InFlightAtReport) >= est.Slots {
		return
	}
	estimates := &t.admissionFor(s.Service).Estimates
	missing := max(0, l.ask.Prompt.Tokens-cached.claimed)
	cachedTime, prefillTime := estimates.UnloadedTurnTime(missing, 1), estimates.UnloadedTurnTime(missing+cached.shared, 1)
	if cachedTime > 0 {
		use.last, use.limit = l, (cachedTime+prefillTime)/2
	}
}

// PrefixDemand returns the demand for shared prompt prefixes that this box has seen, for each service whose
// prefixes are assigned.
func (t *Targets) PrefixDemand() []sched.PrefixDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []sched.PrefixDemand
	for service, prefixes := range t.prefixes {
		if demand, ok := prefixes.Demand(time.Now()); ok {
			demand.Service = service
			all = append(all, demand)
		}
	}
	return all
}

// UpdatePrefixDemand records the demand that another box of the zone has seen.
func (t *Targets) UpdatePrefixDemand(from string, demand sched.PrefixDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if prefixes, ok := t.prefixes[demand.Service]; ok {
		prefixes.Merge(time.Now(), from, demand)
	}
}

// PrefixTotals returns the number of shared prompt prefixes in use and the number of preferred replicas,
// summed over the prefixes of all services.
func (t *Targets) PrefixTotals() (shared, preferred int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, prefixes := range t.prefixes {
		s, p := prefixes.Totals(time.Now())
		shared, preferred = shared+s, preferred+p
	}
	return shared, preferred
}

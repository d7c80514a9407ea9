package target

import (
	"math"
	"time"

	"mulleingate.dev/gate/sched"
)

const (
	// unpreferredShare is the share of a prefix that counts as cached at a replica which is not preferred
	// although this box sent the prefix there recently. It keeps calls at the preferred replicas while
	// these have room, so that the others evict the prefix.
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
		if s.Draining || (s.missing && !lapsed) || t.evacuated[s.Zone] || now.Before(s.suspectUntil) || ejector.Ejected(now, s.ID) || s.cold(now, svc) {
			continue
		}
		replicas = append(replicas, sched.PrefixReplica{ID: s.ID, Zone: s.Zone, Slowdown: s.slowdown})
	}
	prefixes.Assign(now, svc.Engine.CacheTokens, replicas)
}

// observePrefixes records the demand of a call that is placed.
func (t *Targets) observePrefixes(now time.Time, ask CallRequest, s *state) {
	if prefixes := t.prefixes[s.Service]; prefixes != nil {
		prefixes.Observe(now, ask.Turn.Program, ask.Prompt.Parts)
	}
}

// cachedPrefix is what a replica is assumed to cache of a prompt's parts.
type cachedPrefix struct {
	// tokens is the number of tokens, and sent how many of them this box sent there recently.
	tokens, sent int
	// ranked is tokens as the cost counts them, so that calls go to preferred replicas first.
	ranked int
}

// cachedPrefixAt estimates how many leading tokens of a prompt the replica caches. A preferred replica is
// assumed to cache a shared part and all parts before it.
func (t *Targets) cachedPrefixAt(now time.Time, ask CallRequest, s *state) cachedPrefix {
	prefixes := t.prefixes[s.Service]
	if prefixes == nil || !prefixes.Active() {
		sent := s.cachedPartTokens(now, ask.Prompt.Parts)
		return cachedPrefix{tokens: sent, sent: sent, ranked: sent}
	}
	var cached cachedPrefix
	// shared is the length of the leading shared parts, assumed that up to the last one for which the
	// replica is preferred, and rank the position for the last shared part.
	shared, assumed := 0, 0
	var rank sched.PrefixRank
	leadingShared, leadingSent := true, true
	for _, part := range ask.Prompt.Parts {
		ttl := promptPartTTL
		if leadingShared {
			var partRank sched.PrefixRank
			if partRank, leadingShared = prefixes.Rank(part.ID, s.ID); leadingShared {
				shared, rank = shared+part.Tokens, partRank
			}
		}
		switch {
		case leadingShared && rank.Preferred:
			assumed = shared
		case leadingShared:
			ttl = unpreferredTTL
		}
		if leadingSent {
			var tokens int
			tokens, leadingSent = s.sentPartTokens(now, part, ttl)
			cached.sent += tokens
		}
		if !leadingShared && !leadingSent {
			break
		}
	}
	cached.tokens = max(cached.sent, assumed)
	cached.ranked = cached.tokens
	if len(ask.CachedTokens) > 0 && ask.CachedTokens[s.RunID()] == 0 {
		cached.ranked = int(movedShare * float64(cached.ranked))
	}
	if shared == 0 || rank.Preferred {
		return cached
	}
	overflow := overflowShare * math.Exp2(-float64(rank.Overflow))
	ranked := unpreferredShare*float64(min(cached.tokens, shared)) + overflow*float64(shared)
	cached.ranked = min(cached.ranked, max(0, cached.tokens-shared)+int(ranked))
	return cached
}

// expectedCached returns how much of the prompt the replica is expected to cache. known is set if that
// follows from calls of this box alone.
func (t *Targets) expectedCached(now time.Time, ask CallRequest, s *state) (tokens int, known bool) {
	cached := t.cachedPrefixAt(now, ask, s)
	own := ask.CachedTokens[s.RunID()]
	return min(max(own, cached.tokens), ask.Prompt.Tokens), cached.tokens <= max(own, cached.sent)
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
		s, p := prefixes.Totals()
		shared, preferred = shared+s, preferred+p
	}
	return shared, preferred
}

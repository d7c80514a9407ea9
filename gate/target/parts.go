package target

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// maxPromptParts bounds the prompt parts that are remembered for a replica.
	maxPromptParts = 512
	// promptPartTTL is how long a replica is assumed to keep an unused part in its cache.
	promptPartTTL = 30 * time.Second
	// maxUnconfirmedCalls bounds the calls that are sent to a replica because of a part of which no call has shown yet
	// that the replica processes it. Some are needed, so that calls at the same time share one prefill.
	maxUnconfirmedCalls = 4
)

// cachedPart is a part of a prompt that was sent to a replica.
type cachedPart struct {
	tokens int
	sentAt time.Time
	// unconfirmed counts the calls with the part while none got a response, zero once one did.
	unconfirmed int
}

// rememberParts records the parts of a prompt that is sent to the replica. Beyond maxPromptParts, it
// evicts expired parts first, then any.
func (s *state) rememberParts(now time.Time, parts []work.Part) {
	for _, p := range parts {
		unconfirmed := 1
		if known, ok := s.promptParts[p.ID]; ok && now.Sub(known.sentAt) < promptPartTTL {
			unconfirmed = known.unconfirmed
			if unconfirmed > 0 {
				unconfirmed++
			}
		}
		s.promptParts[p.ID] = cachedPart{tokens: p.Tokens, sentAt: now, unconfirmed: unconfirmed}
	}
	if len(s.promptParts) <= maxPromptParts {
		return
	}
	for id, p := range s.promptParts {
		if now.Sub(p.sentAt) > promptPartTTL {
			delete(s.promptParts, id)
		}
	}
	for id := range s.promptParts {
		if len(s.promptParts) <= maxPromptParts {
			return
		}
		delete(s.promptParts, id)
	}
}

// cachedPartTokens estimates how many leading tokens of a prompt the replica caches: a part is usable
// only together with all parts before it.
func (s *state) cachedPartTokens(now time.Time, parts []work.Part) int {
	sum := 0
	for _, p := range parts {
		tokens, ok := s.sentPartTokens(now, p, promptPartTTL)
		sum += tokens
		if !ok {
			break
		}
	}
	return sum
}

// sentPartTokens returns how many tokens of the part were sent to the replica within ttl, and whether that
// is all of it.
func (s *state) sentPartTokens(now time.Time, part work.Part, ttl time.Duration) (tokens int, all bool) {
	cached, ok := s.promptParts[part.ID]
	if !ok || now.Sub(cached.sentAt) >= ttl || cached.unconfirmed >= maxUnconfirmedCalls {
		return 0, false
	}
	return min(cached.tokens, part.Tokens), cached.tokens >= part.Tokens
}

// confirmParts records that a call with the parts got a response.
func (s *state) confirmParts(parts []work.Part) {
	for _, p := range parts {
		if known, ok := s.promptParts[p.ID]; ok && known.unconfirmed > 0 {
			known.unconfirmed = 0
			s.promptParts[p.ID] = known
		}
	}
}

// dropParts forgets the parts of a call that got no response, unless another call has shown that the replica has them.
func (s *state) dropParts(parts []work.Part) {
	for _, p := range parts {
		if s.promptParts[p.ID].unconfirmed > 0 {
			delete(s.promptParts, p.ID)
		}
	}
}

// doubtsPart reports whether too many calls with the part are without a response.
func (s *state) doubtsPart(id string) bool {
	return s.promptParts[id].unconfirmed >= maxUnconfirmedCalls
}

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
)

// cachedPart is a part of a prompt that was sent to a replica.
type cachedPart struct {
	tokens int
	sentAt time.Time
}

// rememberParts records the parts of a prompt that is sent to the replica. Beyond maxPromptParts, it
// evicts expired parts first, then any.
func (s *state) rememberParts(now time.Time, parts []work.Part) {
	for _, p := range parts {
		s.promptParts[p.ID] = cachedPart{tokens: p.Tokens, sentAt: now}
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
	if !ok || now.Sub(cached.sentAt) >= ttl {
		return 0, false
	}
	return min(cached.tokens, part.Tokens), cached.tokens >= part.Tokens
}

package target

import (
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// maxParts bounds the parts of prompts remembered for a replica: those of some hundred programs.
	maxParts = 512
	// partFor is how long a shared part is believed to stay in a replica's memory unused.
	partFor = 30 * time.Second
)

// part is a piece of a prompt that a replica was sent.
type part struct {
	tokens int
	at     time.Time
}

// remember notes the parts of a prompt that the replica gets to read.
func (s *state) remember(now time.Time, parts []work.Part) {
	for _, p := range parts {
		s.parts[p.ID] = part{tokens: p.Tokens, at: now}
	}
	if len(s.parts) <= maxParts {
		return
	}
	for id, p := range s.parts {
		if now.Sub(p.at) > partFor {
			delete(s.parts, id)
		}
	}
	for id := range s.parts {
		if len(s.parts) <= maxParts {
			return
		}
		delete(s.parts, id)
	}
}

// holds is how many tokens of a prompt's parts the replica is believed to hold: a part is of use
// only with all before it.
func (s *state) holds(now time.Time, parts []work.Part) int {
	sum := 0
	for _, p := range parts {
		have, ok := s.parts[p.ID]
		if !ok || now.Sub(have.at) >= partFor {
			break
		}
		sum += min(have.tokens, p.Tokens)
		if have.tokens < p.Tokens {
			break
		}
	}
	return sum
}

package crash

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mulleingate.dev/gate/work"
)

const (
	// answeredSlots is the number of requests that are remembered as answered. Requests that come often are found there.
	answeredSlots = 1024
	// answeredTTL is how long an answer shows that a request does not crash replicas.
	answeredTTL = time.Minute
)

// answers remembers which requests were answered lately, each in the slot of its hash. It is not safe for concurrent use.
type answers struct {
	slots [answeredSlots]answerSlot
}

// answerSlot is the latest answer to the requests of one slot.
type answerSlot struct {
	hash uint64
	at   time.Time
}

// add records that the request was answered.
func (a *answers) add(now time.Time, req work.Fingerprint) {
	hash := xxhash.Sum64String(string(req))
	a.slots[hash%answeredSlots] = answerSlot{hash: hash, at: now}
}

// has reports whether the request is known to have been answered lately.
func (a *answers) has(now time.Time, req work.Fingerprint) bool {
	hash := xxhash.Sum64String(string(req))
	slot := a.slots[hash%answeredSlots]
	return slot.hash == hash && !slot.at.IsZero() && now.Sub(slot.at) < answeredTTL
}

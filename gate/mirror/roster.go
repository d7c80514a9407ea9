package mirror

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// After a change of the fleet the members may change again for settlingPeriod without a new generation,
	// since the log lists a new member only once others have joined again. In that time a list may be served
	// for settlingMaxAge, later for stableMaxAge.
	settlingPeriod = time.Second
	settlingMaxAge = 300 * time.Millisecond
	stableMaxAge   = 2500 * time.Millisecond
	// maxKeptLists is how many recent lists a source keeps to send differences from.
	maxKeptLists = 8
)

// RosterRequest requests the members of the fleet from a source.
type RosterRequest struct {
	// Generation is the newest generation that the asking box got from the log.
	Generation int64 `json:"generation"`
	// KnownDigest is the digest of the list that the box last got from this source; zero without one.
	KnownDigest uint64 `json:"have,omitempty"`
}

// RosterResponse is the list of members or its difference from the list that the asking box has.
type RosterResponse struct {
	// Digest is the digest of the whole list, to check the result of applying a difference.
	Digest uint64 `json:"digest"`
	// Whole reports that Added is the whole list. Otherwise Added and Removed are the changes.
	Whole   bool     `json:"whole,omitempty"`
	Added   []string `json:"came,omitempty"`
	Removed []string `json:"went,omitempty"`
}

// memberList is a sorted list of members with its digest.
type memberList struct {
	digest  uint64
	members []string
}

func newList(members []string) memberList {
	members = slices.Sorted(slices.Values(members))
	return memberList{digest: xxhash.Sum64String(strings.Join(members, "\n")), members: members}
}

// diff returns the difference from an earlier list.
func (l memberList) diff(earlier memberList) RosterResponse {
	out := RosterResponse{Digest: l.digest}
	old := earlier.members
	for _, member := range l.members {
		for len(old) > 0 && old[0] < member {
			out.Removed = append(out.Removed, old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0] == member {
			old = old[1:]
			continue
		}
		out.Added = append(out.Added, member)
	}
	out.Removed = append(out.Removed, old...)
	return out
}

// apply returns the list that results from an answer. It returns false if that has another digest than the
// answer says.
func (l memberList) apply(answer RosterResponse) (memberList, bool) {
	if answer.Whole {
		return newList(answer.Added), true
	}
	members := slices.DeleteFunc(slices.Clone(l.members), func(member string) bool { return slices.Contains(answer.Removed, member) })
	next := newList(append(members, answer.Added...))
	return next, next.digest == answer.Digest
}

// roster caches the members of the fleet, which a source reads for itself and others.
type roster struct {
	// read returns the members as of the generation or later.
	read func(ctx context.Context, generation int64) ([]string, error)

	// readSem is a semaphore of one, held during a read, so that concurrent callers share one result.
	readSem chan struct{}

	mu sync.Mutex
	// lists are the newest lists, oldest first.
	lists []memberList
	// generation is the newest one that any box has reported, generationAt is when it was first reported and
	// readAt is when the read of the newest list began.
	generation           int64
	generationAt, readAt time.Time
	// readGeneration is the value of generation when that read began.
	readGeneration int64
}

func newRoster(read func(ctx context.Context, generation int64) ([]string, error)) *roster {
	return &roster{read: read, readSem: make(chan struct{}, 1), generation: -1, readGeneration: -1}
}

// noteGeneration records a generation that a box has reported.
func (r *roster) noteGeneration(generation int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation > r.generation {
		r.generation, r.generationAt = generation, time.Now()
	}
}

// fresh reports whether the newest list may be served: it was read for the newest generation and is not too
// old.
func (r *roster) fresh(now time.Time) bool {
	if len(r.lists) == 0 || r.readGeneration < r.generation {
		return false
	}
	maxAge := stableMaxAge
	if now.Sub(r.generationAt) < settlingPeriod {
		maxAge = settlingMaxAge
	}
	return now.Sub(r.readAt) < maxAge
}

// newest returns the newest list if it is fresh.
func (r *roster) newest() (memberList, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(time.Now()) {
		return memberList{}, false
	}
	return r.lists[len(r.lists)-1], true
}

// Get returns the members as of the generation or later, from the cache if the newest list is fresh.
func (r *roster) Get(ctx context.Context, generation int64) (memberList, error) {
	r.noteGeneration(generation)
	if got, ok := r.newest(); ok {
		return got, nil
	}
	select {
	case r.readSem <- struct{}{}:
		defer func() { <-r.readSem }()
	case <-ctx.Done():
		return memberList{}, ctx.Err()
	}
	if got, ok := r.newest(); ok { // another caller has read it meanwhile
		return got, nil
	}
	r.mu.Lock()
	sentAt, known := time.Now(), r.generation
	r.mu.Unlock()
	members, err := r.read(ctx, known)
	if err != nil {
		return memberList{}, err
	}
	return r.put(members, known, sentAt), nil
}

// put adds a list that was requested at sentAt for the generation.
func (r *roster) put(members []string, generation int64, sentAt time.Time) memberList {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := newList(members)
	if n := len(r.lists); n == 0 || r.lists[n-1].digest != next.digest {
		r.lists = append(r.lists, next)
	}
	if len(r.lists) > maxKeptLists {
		r.lists = slices.Delete(r.lists, 0, 1)
	}
	r.readAt, r.readGeneration = sentAt, generation
	return next
}

// Answer returns the members for another box: the difference from the list that the box has if that is still
// kept, otherwise the whole list.
func (r *roster) Answer(ctx context.Context, req RosterRequest) (RosterResponse, error) {
	current, err := r.Get(ctx, req.Generation)
	if err != nil {
		return RosterResponse{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, before := range r.lists {
		if before.digest == req.KnownDigest {
			return current.diff(before), nil
		}
	}
	return RosterResponse{Digest: current.digest, Whole: true, Added: current.members}, nil
}

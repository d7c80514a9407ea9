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
	// movingFor is how long after a change of the fleet its members may change without another one: the log names a new
	// member only once others have joined again. Meanwhile a list counts as new for movingAge, a heartbeat; after
	// it for calmAge.
	movingFor = time.Second
	movingAge = 300 * time.Millisecond
	calmAge   = 2500 * time.Millisecond
	// keptLists is how many lists are kept to tell differences from.
	keptLists = 8
)

// RosterAsk asks a source for the members of the fleet.
type RosterAsk struct {
	// Generation is the one that the asker has heard of.
	Generation int64 `json:"generation"`
	// Have is the digest of the list that the asker has from this source; zero without one.
	Have uint64 `json:"have,omitempty"`
}

// RosterAnswer is the list of members, or how it differs from the one that the asker has.
type RosterAnswer struct {
	Digest uint64 `json:"digest"`
	// Whole says that Came is the whole list.
	Whole bool     `json:"whole,omitempty"`
	Came  []string `json:"came,omitempty"`
	Went  []string `json:"went,omitempty"`
}

// list is a sorted list of members.
type list struct {
	digest  uint64
	members []string
}

func newList(members []string) list {
	members = slices.Sorted(slices.Values(members))
	return list{digest: xxhash.Sum64String(strings.Join(members, "\n")), members: members}
}

// differs tells how the list differs from one of before.
func (l list) differs(before list) RosterAnswer {
	out := RosterAnswer{Digest: l.digest}
	old := before.members
	for _, member := range l.members {
		for len(old) > 0 && old[0] < member {
			out.Went = append(out.Went, old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0] == member {
			old = old[1:]
			continue
		}
		out.Came = append(out.Came, member)
	}
	out.Went = append(out.Went, old...)
	return out
}

// apply makes the list that an answer tells of.
func (l list) apply(answer RosterAnswer) (list, bool) {
	if answer.Whole {
		return newList(answer.Came), true
	}
	members := slices.DeleteFunc(slices.Clone(l.members), func(member string) bool { return slices.Contains(answer.Went, member) })
	next := newList(append(members, answer.Came...))
	return next, next.digest == answer.Digest
}

// roster is the members of the fleet as a source reads them for others.
type roster struct {
	// read reads them anew.
	read func(ctx context.Context, generation int64) ([]string, error)

	// reading holds a token while they are read, so that all who ask meanwhile share one answer.
	reading chan struct{}

	mu sync.Mutex
	// lists are the newest that were read, last the newest.
	lists []list
	// generation is the newest that any box has told of, movedAt when it was told of, readAt when the question for the
	// newest list was sent.
	generation      int64
	movedAt, readAt time.Time
	// readFor is the generation that was known when it was sent.
	readFor int64
}

func newRoster(read func(ctx context.Context, generation int64) ([]string, error)) *roster {
	return &roster{read: read, reading: make(chan struct{}, 1), generation: -1, readFor: -1}
}

// hear notes a generation.
func (r *roster) hear(generation int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation > r.generation {
		r.generation, r.movedAt = generation, time.Now()
	}
}

// fresh reports whether the newest list may be told to a box that has heard of the generation.
func (r *roster) fresh(now time.Time) bool {
	if len(r.lists) == 0 || r.readFor < r.generation {
		return false
	}
	age := calmAge
	if now.Sub(r.movedAt) < movingFor {
		age = movingAge
	}
	return now.Sub(r.readAt) < age
}

// newest returns the list if it is fresh.
func (r *roster) newest() (list, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(time.Now()) {
		return list{}, false
	}
	return r.lists[len(r.lists)-1], true
}

// Get returns the members for a box that has heard of the generation.
func (r *roster) Get(ctx context.Context, generation int64) (list, error) {
	r.hear(generation)
	if got, ok := r.newest(); ok {
		return got, nil
	}
	select {
	case r.reading <- struct{}{}:
		defer func() { <-r.reading }()
	case <-ctx.Done():
		return list{}, ctx.Err()
	}
	if got, ok := r.newest(); ok { // read while this one waited
		return got, nil
	}
	r.mu.Lock()
	asked, known := time.Now(), r.generation
	r.mu.Unlock()
	members, err := r.read(ctx, known)
	if err != nil {
		return list{}, err
	}
	return r.put(members, known, asked), nil
}

func (r *roster) put(members []string, generation int64, asked time.Time) list {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := newList(members)
	if n := len(r.lists); n == 0 || r.lists[n-1].digest != next.digest {
		r.lists = append(r.lists, next)
	}
	if len(r.lists) > keptLists {
		r.lists = slices.Delete(r.lists, 0, 1)
	}
	r.readAt, r.readFor = asked, generation
	return next
}

// Answer is the list told to a box that may have one of before.
func (r *roster) Answer(ctx context.Context, ask RosterAsk) (RosterAnswer, error) {
	now, err := r.Get(ctx, ask.Generation)
	if err != nil {
		return RosterAnswer{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, before := range r.lists {
		if before.digest == ask.Have {
			return now.differs(before), nil
		}
	}
	return RosterAnswer{Digest: now.digest, Whole: true, Came: now.members}, nil
}

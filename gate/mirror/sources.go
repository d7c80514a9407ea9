package mirror

import (
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

const (
	// smallZone is the number of boxes of an availability zone below which each reads for itself: then that costs the log
	// little, and no second step lies between a change and the boxes.
	smallZone = 32
	// leastSources serve a zone, so that one may fail, and one more for each boxesASource.
	leastSources = 2
	boxesASource = 256
	// sourceKey is the key of the rendezvous of sources.
	sourceKey = "source"
	// leastCores is taken for the processor time of a box that does not say.
	leastCores = 0.01
	// fastCores and fastLink, in Mbit/s, make a box fast enough to tell a hundred others their parts of a list within a
	// second.
	fastCores, fastLink = 0.4, 100
	// shunFor is how long a source that refused is asked last, shunForSlow the same for one that did not answer.
	shunFor     = time.Second
	shunForSlow = 2 * time.Second
)

// fast reports whether the box may be a source from the moment when its fleet starts.
func fast(box work.Box) bool {
	return box.Cores >= fastCores && box.Link >= fastLink
}

// ranked returns the boxes of a zone that should be its sources, the first of them first; none in a small zone. Fast boxes
// are chosen by the square of their processor time, since a source answers for hundreds of others.
func ranked(near []work.Box) []work.Box {
	if len(near) < smallZone {
		return nil
	}
	share := func(i int) (string, float64) {
		cores := max(near[i].Cores, leastCores)
		return near[i].Name, cores * cores
	}
	var sources []work.Box
	for _, i := range ident.Shared(sourceKey, len(near), share, leastSources+len(near)/boxesASource) {
		sources = append(sources, near[i])
	}
	return sources
}

// ranks keeps the sources of a zone for as long as the same boxes live.
type ranks struct {
	zone string

	mu      sync.Mutex
	live    []work.Box
	near    int
	sources []work.Box
}

// Of returns the sources among the living boxes, and how many boxes the zone has.
func (r *ranks) Of(live []work.Box) (sources []work.Box, near int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(live) == len(r.live) && len(live) > 0 && &live[0] == &r.live[0] {
		return r.sources, r.near
	}
	var boxes []work.Box
	for _, box := range live {
		if box.Zone == r.zone {
			boxes = append(boxes, box)
		}
	}
	r.live, r.near, r.sources = live, len(boxes), ranked(boxes)
	return r.sources, r.near
}

// shunned holds sources that failed lately.
type shunned struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add has a source left for a while.
func (s *shunned) Add(name string, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[name] = time.Now().Add(lasts)
}

// order returns the boxes to ask, those that failed lately last; the others as the rendezvous of the asker says, so that
// each source serves its part of the zone.
func (s *shunned) order(self string, boxes []work.Box) []work.Box {
	names := func(i int) string { return boxes[i].Name }
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var good, bad []work.Box
	for _, i := range ident.Closest(self, len(boxes), names, len(boxes)) {
		box := boxes[i]
		switch {
		case box.Name == self:
		case now.Before(s.until[box.Name]):
			bad = append(bad, box)
		default:
			good = append(good, box)
		}
	}
	return slices.Concat(good, bad)
}

package mirror

import (
	"slices"
	"sync"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/work"
)

const (
	// minZoneSize is the number of boxes below which an availability zone has no sources: few boxes cost the
	// log little, and without sources changes reach them sooner.
	minZoneSize = 32
	// A zone has minSources, so that one may fail, and one more per boxesPerSource boxes.
	minSources     = 2
	boxesPerSource = 256
	// sourceRankKey is the rendezvous key for ranking sources.
	sourceRankKey = "source"
	// minCores replaces the processor time of a box that does not report any, or less.
	minCores = 0.01
	// fastCores is the processor time, in cores, and fastLink the bandwidth, in Mbit/s, that a box needs to
	// serve many others quickly.
	fastCores, fastLink = 0.4, 100
	// membersBackoff is how long a source that failed to return the members is asked after all others;
	// readBackoff is the same for a source that failed to return new records.
	membersBackoff = time.Second
	readBackoff    = 2 * time.Second
)

// isFast reports whether the box is fast enough to become a source while the fleet starts.
func isFast(box work.Box) bool {
	return box.Cores >= fastCores && box.Link >= fastLink
}

// rankSources returns the boxes of a zone that should be its sources, best first; none in a small zone. Boxes
// are weighted by the square of their processor time, since a source serves hundreds of others.
func rankSources(zoneBoxes []work.Box) []work.Box {
	if len(zoneBoxes) < minZoneSize {
		return nil
	}
	weight := func(i int) (string, float64) {
		cores := max(zoneBoxes[i].Cores, minCores)
		return zoneBoxes[i].Name, cores * cores
	}
	var sources []work.Box
	for _, i := range ident.WeightedRendezvousTop(sourceRankKey, len(zoneBoxes), weight, minSources+len(zoneBoxes)/boxesPerSource) {
		sources = append(sources, zoneBoxes[i])
	}
	return sources
}

// sourceRanking caches the sources of a zone for one list of live boxes.
type sourceRanking struct {
	zone string

	mu       sync.Mutex
	live     []work.Box
	zoneSize int
	sources  []work.Box
}

// Sources returns the sources among the live boxes and the number of live boxes in the zone.
func (r *sourceRanking) Sources(live []work.Box) (sources []work.Box, zoneSize int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(live) == len(r.live) && len(live) > 0 && &live[0] == &r.live[0] {
		return r.sources, r.zoneSize
	}
	var boxes []work.Box
	for _, box := range live {
		if box.Zone == r.zone {
			boxes = append(boxes, box)
		}
	}
	r.live, r.zoneSize, r.sources = live, len(boxes), rankSources(boxes)
	return r.sources, r.zoneSize
}

// sourceBackoff holds the sources that failed recently and until when they are asked after all others.
type sourceBackoff struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add has the source asked after all others for the given time.
func (b *sourceBackoff) Add(name string, period time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until[name] = time.Now().Add(period)
}

// order returns the boxes to ask, without self, in order: by rendezvous hashing with self as the key, so that
// the zone's boxes spread over the sources, and those that failed recently last.
func (b *sourceBackoff) order(self string, boxes []work.Box) []work.Box {
	name := func(i int) string { return boxes[i].Name }
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var preferred, failed []work.Box
	for _, i := range ident.RendezvousTop(self, len(boxes), name, len(boxes)) {
		box := boxes[i]
		switch {
		case box.Name == self:
		case now.Before(b.until[box.Name]):
			failed = append(failed, box)
		default:
			preferred = append(preferred, box)
		}
	}
	return slices.Concat(preferred, failed)
}

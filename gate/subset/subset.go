package subset

import "mulleingate.dev/base/ident"

const (
	// minReplicas is the least average number of replicas of a service in one availability zone
	// that a box knows when a level is drawn, if there are as many: enough for its callers and
	// slots while a quarter of them is stopped, replaced or slow.
	minReplicas = 48
	// minBoxes is the least average number of boxes of an availability zone that know a replica
	// when a level is drawn, if there are as many: enough to use each place while some boxes
	// restart.
	minBoxes = 8
	// maxSizeFactor and minSizeFactor bound the size of a subset, as multiples of minReplicas,
	// within which its level stays. This avoids drawing and loading subsets anew for every few
	// replicas that come and go.
	maxSizeFactor = 2.5
	minSizeFactor = 0.6
	// weightBits is the length of a rendezvous weight.
	weightBits = 64
)

// Group returns the name of the group of a service's replicas in an availability zone.
func Group(service, zone string) string {
	return service + "@" + zone
}

// Level returns how many times the replicas of a group are halved: a box knows on average one in
// 2^level of them. Boxes is the number of boxes in its availability zone.
func Level(replicas, boxes int) int {
	level := 0
	for replicas>>(level+1) >= minReplicas && boxes>>(level+1) >= minBoxes {
		level++
	}
	return level
}

// LevelFits reports whether a level drawn earlier may stay: it still equals Level, or the average size
// of a subset is within the bounds.
func LevelFits(replicas, boxes, level int) bool {
	wanted := Level(replicas, boxes)
	size := float64(replicas) / float64(int(1)<<level)
	switch {
	case level < wanted:
		return size <= maxSizeFactor*minReplicas
	case level > wanted:
		return size >= minSizeFactor*minReplicas
	default:
		return true
	}
}

// Levels holds the levels of groups by name. Every box knows all replicas of a group without a
// level.
type Levels map[string]int

// Knows reports whether the box knows the replica of the group.
func (l Levels) Knows(box, id, group string) bool {
	level := l[group]
	return level == 0 || ident.Weight(id, box)>>(weightBits-level) == 0
}

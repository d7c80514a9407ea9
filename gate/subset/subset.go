package subset

import "mulleingate.dev/base/ident"

const (
	// minReplicas is the minimum average number of replicas of a group that a box knows, if the group
	// has that many, when its level is set. It is enough for the box's calls while a quarter of the
	// replicas is stopped, replaced or slow.
	minReplicas = 48
	// minBoxes is the minimum average number of boxes of an availability zone that know a replica, if
	// the zone has that many, when a level is set. It is enough to use all slots of the replica while
	// some boxes restart.
	minBoxes = 8
	// maxSizeFactor and minSizeFactor bound the average subset size at which a level is kept, as
	// multiples of minReplicas. The level thus does not change whenever a few replicas come or go.
	maxSizeFactor = 2.5
	minSizeFactor = 0.6
	// maxLevel is far above the level of the largest group in the largest zone.
	maxLevel = 16
	// weightBits is the length of a rendezvous weight.
	weightBits = 64
)

// Group returns the name of the group of a service's replicas in an availability zone.
func Group(service, zone string) string {
	return service + "@" + zone
}

// Level returns the level for a group of replicas: a box knows on average one in 2^level of them. boxes
// is the number of boxes in an availability zone.
func Level(replicas, boxes int) int {
	level := 0
	for replicas>>(level+1) >= minReplicas && boxes>>(level+1) >= minBoxes {
		level++
	}
	return level
}

// LevelFits reports whether a level that was set earlier may stay: it equals Level, or the average size of a
// subset is within the bounds.
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

// Valid reports whether all levels can be those of groups. Levels from other boxes must be checked by it.
func (l Levels) Valid() bool {
	for _, level := range l {
		if level < 0 || level > maxLevel {
			return false
		}
	}
	return true
}

// Knows reports whether the box knows the replica of the group.
func (l Levels) Knows(box, id, group string) bool {
	level := l[group]
	return level == 0 || ident.Weight(id, box)>>(weightBits-level) == 0
}

package subset

import "mulleingate.dev/base/ident"

const (
	// leastReplicas of a service in one availability zone are known to a box: more than its callers and its slots
	// keep busy, with a quarter of them stopped, replaced or slow.
	leastReplicas = 48
	// leastBoxes of an availability zone know a replica: enough that each place can be taken while some of the boxes
	// are stopped in turn.
	leastBoxes = 8
	// most and least are how far a part may grow or shrink, in leastReplicas, before it is drawn anew. A part that was
	// drawn for every few replicas that come and go would be read anew each time.
	most  = 2.5
	least = 0.6
	// weightBits is the length of a rendezvous weight.
	weightBits = 64
)

// Group names the replicas of a service in an availability zone.
func Group(service, zone string) string {
	return service + "@" + zone
}

// Level is how often the replicas of a group are halved: a box knows one in 2^level of them. Boxes is the number of boxes
// of its availability zone.
func Level(replicas, boxes int) int {
	level := 0
	for replicas>>(level+1) >= leastReplicas && boxes>>(level+1) >= leastBoxes {
		level++
	}
	return level
}

// Fits reports that a part which was drawn at the level still has a fair size.
func Fits(replicas, boxes, level int) bool {
	right := Level(replicas, boxes)
	part := float64(replicas) / float64(int(1)<<level)
	switch {
	case level < right:
		return part <= most*leastReplicas
	case level > right:
		return part >= least*leastReplicas
	default:
		return true
	}
}

// Levels are those of all groups, by their names; a group without one is known whole.
type Levels map[string]int

// Holds reports whether the box knows the replica of the group.
func (l Levels) Holds(box, id, group string) bool {
	level := l[group]
	return level == 0 || ident.Weight(id, box)>>(weightBits-level) == 0
}

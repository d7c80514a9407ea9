// Package subset selects the replicas of a large fleet that a box knows, by hashing the names of both.
// It keeps a box's state and message traffic independent of the size of the fleet, while each replica
// is known to some boxes of every availability zone.
package subset

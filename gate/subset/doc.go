// Package subset decides which replicas of a large fleet a box knows: a part that depends on the box's name, so that
// what a box keeps, hears and looks at does not grow with the fleet, and each replica is known by some boxes of each
// availability zone.
package subset

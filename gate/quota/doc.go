// Package quota limits how many calls the callers of a workspace make on all boxes together.
//
// Each availability zone counts a part of each workspace's quota on one of its boxes, the counter. A box asks
// the counter of its own zone, and those of other zones once that one has nothing left. The parts add up to
// the quota, so the limit holds on both sides of a network partition and when boxes are lost; the other
// counters keep serving.
package quota

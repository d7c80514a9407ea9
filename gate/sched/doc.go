// Package sched makes the scheduling decisions: which waiting call runs next, whether a call waits
// or is refused, and at which target it runs. A program is a sequence of turns, each a call to a
// model. The package does no I/O: callers pass in the time, the known state and the request, and
// get a decision. Some decisions are randomized, so that boxes with the same state don't all choose
// alike. engine.go places calls on engines that report their own performance, and holds the
// baseline strategies that the scored one is compared with; cost.go places calls on replicas of
// which only load reports and observed times are known.
package sched

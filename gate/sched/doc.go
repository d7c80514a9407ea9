// Package sched decides which call goes next, whether it waits or is refused, and where it
// runs. It is pure: the time, what is believed and what asks go in, a decision and its reason
// come out. Engines that tell their figures are weighed in engine.go, with the baselines that
// the choice is measured against; replicas of which only observations are known in cost.go.
package sched

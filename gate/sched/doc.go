// Package sched decides which call goes next, whether it waits or is refused, and where it
// runs. It does no input and output: the time, what is believed and what asks go in, a decision
// and its reason come out, drawn by chance where boxes must not all decide alike. Engines that
// tell their figures are weighed in engine.go, with the baselines that the choice is measured
// against; replicas of which only observations are known in cost.go.
package sched

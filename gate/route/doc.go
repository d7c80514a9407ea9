// Package route chooses targets. It is pure: candidates and a random source in, a choice
// and its reasons out. The baselines that the choice is measured against live here too.
package route

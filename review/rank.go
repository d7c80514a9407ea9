package main

import (
	"fmt"
	"time"
)

const (
	// addedRank is the rank of the route which a later configuration adds, and addedPath its path.
	addedRank = 20
	addedPath = "/audit/"
	// beforeChange and afterChange are the times of traffic before and after the change of the configuration, and applyTime
	// is configuration_apply_ms, with as much again.
	beforeChange, afterChange, applyTime = 6 * time.Second, 20 * time.Second, 4 * time.Second
)

func init() { cases["rank"] = addedRoute }

// addedRoute is a trial, not a case: it shows whether programs begin on a route of a high rank that a later configuration adds.
func addedRoute(f *fleet) bool {
	f.startWithModels()
	onFirst, onAdded := &served{statuses: map[int]int{}}, &served{statuses: map[int]int{}}
	f.beginPrograms(beforeChange, map[string]*served{firstPath: onFirst})
	routes := map[string]*served{firstPath: onFirst}
	if f.trouble {
		putRoutes(f, 9, map[string]any{"path_prefix": addedPath, "priority": addedRank, "name": "audit-chat"})
		f.note("driver", "a configuration adds a route of rank %d", addedRank)
		time.Sleep(applyTime)
		routes[addedPath] = onAdded
	}
	f.beginPrograms(afterChange, routes)
	fmt.Printf("CONFIG: first route %d of %d served %v, added route %d of %d served %v\n", onFirst.whole, onFirst.sent, onFirst.statuses, onAdded.whole, onAdded.sent, onAdded.statuses)
	const least = 20 // fewer requests on added routes show nothing
	return onAdded.sent < least || onAdded.share() >= onFirst.share()/4
}

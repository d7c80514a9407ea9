package quota

import (
	"time"

	"mulleingate.dev/gate/work"
)

// evenSplit gives each box an equal part of a quota. The test compares counters with it.
type evenSplit struct {
	bounds Bounds
	boxes  int
	parts  map[string]*part
}

func (e *evenSplit) take(now time.Time, space work.Workspace) bool {
	p, ok := e.parts[space.Name]
	if !ok {
		p = newPart(time.Time{})
		e.parts[space.Name] = p
	}
	granted, _ := p.grant(now, e.bounds.partLimits(space, e.boxes), 1, false)
	return granted > 0
}

package entry

import (
	"strings"
	"time"

	"mulleingate.dev/gate/work"
)

// Drain decides which calls a stopping box still takes.
type Drain interface {
	// Check returns a fault with NotRun if the box stops and must refuse a call with the given deadline that has not
	// been passed on to a replica yet.
	Check(deadline time.Time) error
	// IsCut reports whether the calls in progress have been ended.
	IsCut() bool
}

// neverStops is the Drain of a box that does not stop.
type neverStops struct{}

func (neverStops) Check(time.Time) error { return nil }
func (neverStops) IsCut() bool           { return false }

// SetDrain makes calls pass the check of a box that stops, when they arrive and after each wait. It must be called before
// the first call.
func (e *Entry) SetDrain(drain Drain) {
	e.drain = drain
}

// Deadline returns the time at which a call must end: that of its route's timeout, unless the caller waits for less.
// left is how long the caller waits, zero if it is not known. The zero time stands for a call that has no route.
func (e *Entry) Deadline(call *work.Call, left time.Duration) time.Time {
	known := e.feed.Current()
	if known.Config == nil {
		return time.Time{}
	}
	path, _, _ := strings.Cut(call.Target, "?")
	route := known.Config.FindRoute(call.Host, path)
	if route == nil {
		return time.Time{}
	}
	return deadline(call, route, left)
}

func deadline(call *work.Call, route *work.Route, left time.Duration) time.Time {
	if left <= 0 || left > route.Timeout {
		left = route.Timeout
	}
	return call.Arrived.Add(left)
}

// checkDrain refuses a call that could not end before this box stops.
func (e *Entry) checkDrain(call *work.Call, route *work.Route) error {
	err := e.drain.Check(call.Deadline)
	if err != nil {
		e.counts.Count("entry.stopping", 1)
		e.log.Info("entry: refused, this box stops", "id", call.ID, "route", route.Name, "workspace", call.Workspace, "after", time.Since(call.Arrived), "left", time.Until(call.Deadline))
	}
	return err
}

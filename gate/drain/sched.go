package drain

import "time"

const (
	// DefaultGrace is the grace period if the settings name none.
	DefaultGrace = 8 * time.Second
	// acceptTime is the time for which a stopping box accepts new connections: the load balancer asks each second
	// whether a box is ready, and takes it out after two misses.
	acceptTime = 2600 * time.Millisecond
)

// Schedule divides the grace period of a planned stop. All times count from the signal to stop, and each is at least
// as late as the ones before it.
type Schedule struct {
	// Serve is the time until which calls are taken however long they may last; see Schedule.RefuseAt.
	Serve time.Duration
	// Accept is the end of new connections.
	Accept time.Duration
	// Cut is the end of the calls in progress. It lies in the last sixth of the grace period, since answers that are
	// cut sooner count as lost.
	Cut time.Duration
	// Close is the time at which connections with callers are closed. The answers of calls that were ended at Cut
	// must have been written by then.
	Close time.Duration
	// Release is the end of the services that keep records. The time from then to End is left to those that other
	// boxes and these services depend on.
	Release time.Duration
	// End is the end of the process. The rest of the grace period allows for a slow processor.
	End time.Duration
}

// NewSchedule returns the schedule for a grace period; DefaultGrace if that is not positive.
func NewSchedule(grace time.Duration) Schedule {
	if grace <= 0 {
		grace = DefaultGrace
	}
	share := func(permille time.Duration) time.Duration { return grace * permille / 1000 }
	s := Schedule{Accept: min(acceptTime, share(650)), Cut: share(835), Close: share(865), Release: share(880), End: share(900)}
	s.Serve = min(s.Accept, s.Cut/2)
	return s
}

// RefuseAt returns the time from which a call must be refused that has not been passed on to a replica by then and may
// last until the given time. A call that must end before Cut is never cut. Others are taken until Serve: the load
// balancer still sends callers here then, their tries elsewhere are few, and most calls take a small part of the time
// that they are allowed. After that, what is left of the grace period is shorter than what such a call may take, and
// another box has all of it.
func (s Schedule) RefuseAt(until time.Duration) time.Duration {
	if until <= s.Cut {
		return max(until, 0)
	}
	return s.Serve
}

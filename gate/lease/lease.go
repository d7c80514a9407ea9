package lease

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Ask is a call that wants a target.
type Ask struct {
	Input    types.RuleInput
	Program  string
	Work     sched.ProgramProgress
	Prompt   int
	Expected int
	// Fresh says that the program has done no work yet, so that refusing it wastes none.
	Fresh    bool
	Deadline time.Time
	// Avoid names targets that have just failed the call.
	Avoid []string
}

// Lease is a place at a target. Finish must be called once.
type Lease struct {
	Target types.Target
	Cached int
	// Hold says that the cache should be kept after the answer.
	Hold bool
	// Weighed are the candidates with their scores.
	Weighed []types.Weighed
	Waited  time.Duration
	// Rank is the call's place in the order, higher first; engines get it as priority.
	Rank int64

	// Started is when the place was given.
	Started time.Time
	// Give takes the place back.
	Give func(l *Lease, res Result)
}

// Result is how a lease ended.
type Result struct {
	// OK says that the whole answer came; Refused that the target took no work.
	OK, Refused bool
	// First is the time to the first token, PerToken the time between tokens after it.
	First, PerToken time.Duration
	Usage           types.Usage
	Program         string
}

// Finish gives the place back.
func (l *Lease) Finish(res Result) {
	l.Give(l, res)
}

package lease

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Ask describes a model call that needs a target.
type Ask struct {
	Input   types.RuleInput
	Program string
	Work    sched.ProgramProgress
	// Prompt and Expected are the lengths of the prompt and of the expected answer, in tokens.
	Prompt   int
	Expected int
	// Fresh marks the first turn of a root program. Rejecting it wastes no work done before.
	Fresh    bool
	Deadline time.Time
	// Avoid names targets on which earlier attempts of the call failed.
	Avoid []string
}

// Lease is the right to run one call on a target. Finish must be called exactly once.
type Lease struct {
	Target types.Target
	// Cached is the number of prompt tokens that the target should have cached.
	Cached int
	// Hold asks the target to keep the program's cache after the answer.
	Hold bool
	// Weighed holds the candidate targets and their scores.
	Weighed []types.Weighed
	// Waited is how long the call waited in the queue.
	Waited time.Duration
	// Rank orders the queue, highest first. Engines receive it as the call's priority.
	Rank int64

	// Started is when the lease was granted.
	Started time.Time
	// Give returns the lease to the queue.
	Give func(l *Lease, res Result)
}

// Result is the outcome of a leased call.
type Result struct {
	// OK reports that the answer is complete, Refused that the target did not run the call.
	OK, Refused bool
	// First is the time to the first token, PerToken the mean time per token after it.
	First, PerToken time.Duration
	Usage           types.Usage
	Program         string
}

// Finish ends the lease with the result of its call.
func (l *Lease) Finish(result Result) {
	l.Give(l, result)
}

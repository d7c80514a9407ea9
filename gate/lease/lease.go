package lease

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Request describes a model call that needs a target.
type Request struct {
	Input    types.RuleInput
	Program  string
	Progress sched.ProgramProgress
	// PromptTokens is the length of the prompt and ExpectedTokens that of the expected answer.
	PromptTokens   int
	ExpectedTokens int
	// NewProgram marks the first turn of a root program. Rejecting it wastes no work done before.
	NewProgram bool
	Deadline   time.Time
	// Exclude names targets on which earlier attempts of the call failed.
	Exclude []string
}

// Lease is the right to run one call on a target. Finish must be called exactly once.
type Lease struct {
	Target types.Target
	// CachedTokens is the number of prompt tokens that the target should have cached.
	CachedTokens int
	// KeepCache asks the target to keep the program's cache after the answer.
	KeepCache bool
	// Candidates holds the candidate targets and their scores.
	Candidates []types.ScoredTarget
	// Waited is the time that the call waited in the queue.
	Waited time.Duration
	// Rank orders the queue, highest first. Engines receive it as the call's priority.
	Rank int64

	// Started is when the lease was granted.
	Started time.Time
	// OnFinish returns the lease to the queue.
	OnFinish func(l *Lease, res Result)
}

// Result is the outcome of a leased call.
type Result struct {
	// OK reports that the answer is complete, Refused that the target did not run the call.
	OK, Refused bool
	// TimeToFirstToken is the time to the first token, TimePerToken the mean time per token after it.
	TimeToFirstToken, TimePerToken time.Duration
	Usage                          types.Usage
	Program                        string
}

// Finish ends the lease with the result of its call.
func (l *Lease) Finish(result Result) {
	l.OnFinish(l, result)
}

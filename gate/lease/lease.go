package lease

import (
	"time"

	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/sched"
)

// Request is a call that wants a target.
type Request struct {
	Input          types.RuleInput
	Program        string
	Progress       sched.ProgramProgress
	PromptTokens   int
	ExpectedTokens int
	// NewProgram says that the program has done no work yet, so that refusing it wastes none.
	NewProgram bool
	Deadline   time.Time
	// Exclude names targets that have just failed the call.
	Exclude []string
}

// Lease is a place at a target. Finish must be called once.
type Lease struct {
	Target       types.Target
	CachedTokens int
	// KeepCache says that the cache should be kept after the answer.
	KeepCache bool
	// Candidates are the candidates with their scores.
	Candidates []types.ScoredTarget
	Waited     time.Duration
	// Rank is the call's place in the order, higher first; engines get it as priority.
	Rank int64

	// Started is when the place was given.
	Started time.Time
	// OnFinish takes the place back.
	OnFinish func(l *Lease, res Result)
}

// Result is how a lease ended.
type Result struct {
	// OK says that the whole answer came; Refused that the target took no work.
	OK, Refused bool
	// TimeToFirstToken is the time to the first token, TimePerToken the time between tokens after it.
	TimeToFirstToken, TimePerToken time.Duration
	Usage                          types.Usage
	Program                        string
}

// Finish gives the place back.
func (l *Lease) Finish(res Result) {
	l.OnFinish(l, res)
}

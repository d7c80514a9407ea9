package limit

import "math"

// Adaptive limits the calls that this box has in flight at one target. At a limit of n, n
// successful calls raise it by about one; an overload multiplies it by decreaseFactor. It is not
// safe for concurrent use.
type Adaptive struct {
	// Min and Max are the bounds of the limit; 1 <= Min <= Max.
	Min, Max float64

	limit float64
}

const decreaseFactor = 0.85

// NewAdaptive returns a limit with the given initial value and bounds.
func NewAdaptive(start, minLimit, maxLimit float64) *Adaptive {
	return &Adaptive{Min: minLimit, Max: maxLimit, limit: math.Min(math.Max(start, minLimit), maxLimit)}
}

// Limit returns the number of calls allowed at the same time.
func (a *Adaptive) Limit() int {
	return int(a.limit)
}

// Success records a call that found the target not overloaded.
func (a *Adaptive) Success() {
	a.limit = math.Min(a.Max, a.limit+1/a.limit)
}

// Overloaded records that the target queues or rejects calls.
func (a *Adaptive) Overloaded() {
	a.limit = math.Max(a.Min, a.limit*decreaseFactor)
}

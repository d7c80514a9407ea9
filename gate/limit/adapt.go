package limit

import "math"

// Adaptive bounds the calls that this box has under way at one target. It grows by one
// for each window of good calls and shrinks by a factor when the target queues.
type Adaptive struct {
	// Min and Max bound the limit; 1 <= Min <= Max.
	Min, Max float64

	limit float64
}

const shrink = 0.85

// NewAdaptive makes a limit that starts at start.
func NewAdaptive(start, low, high float64) *Adaptive {
	return &Adaptive{Min: low, Max: high, limit: math.Min(math.Max(start, low), high)}
}

// Limit is the number of calls allowed at once.
func (a *Adaptive) Limit() int {
	return int(a.limit)
}

// Success notes a call that met no queue.
func (a *Adaptive) Success() {
	a.limit = math.Min(a.Max, a.limit+1/a.limit)
}

// Overloaded notes that the target queues or refuses.
func (a *Adaptive) Overloaded() {
	a.limit = math.Max(a.Min, a.limit*shrink)
}

package limit

import "time"

// Ejector decides which targets get no work for a while after failures in a row. It never
// ejects more than half of the targets. It is not safe for use by many goroutines.
type Ejector struct {
	fails map[string]int
	until map[string]time.Time
	// spells counts ejections, to lengthen them.
	spells map[string]int
}

const (
	failsToEject = 3
	firstSpell   = time.Second
	longestSpell = 30 * time.Second
)

// NewEjector makes an ejector without history.
func NewEjector() *Ejector {
	return &Ejector{fails: map[string]int{}, until: map[string]time.Time{}, spells: map[string]int{}}
}

// Success notes a success.
func (e *Ejector) Success(name string) {
	delete(e.fails, name)
	delete(e.spells, name)
	delete(e.until, name)
}

// Failure notes a failure; of is the number of targets in the pool. It reports an ejection.
func (e *Ejector) Failure(now time.Time, name string, of int) bool {
	e.fails[name]++
	if e.fails[name] < failsToEject || 2*(e.EjectedCount(now)+1) > of {
		return false
	}
	spell := min(firstSpell<<e.spells[name], longestSpell)
	e.spells[name] = min(e.spells[name]+1, 5)
	e.until[name] = now.Add(spell)
	e.fails[name] = failsToEject - 1
	return true
}

// Ejected reports whether the target gets no work now.
func (e *Ejector) Ejected(now time.Time, name string) bool {
	return now.Before(e.until[name])
}

// EjectedCount counts the ejected targets.
func (e *Ejector) EjectedCount(now time.Time) int {
	n := 0
	for _, until := range e.until {
		if now.Before(until) {
			n++
		}
	}
	return n
}

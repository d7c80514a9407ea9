package limit

import "time"

// Ejector decides which targets get no work for some time after consecutive failures. It never
// ejects more than half of the targets. It is not safe for concurrent use.
type Ejector struct {
	failures     map[string]int
	ejectedUntil map[string]time.Time
	// ejections counts a target's ejections since its last success. Each lasts twice as long as
	// the previous one, up to maxEjection.
	ejections map[string]int
}

const (
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
)

// NewEjector returns an ejector without recorded failures.
func NewEjector() *Ejector {
	return &Ejector{failures: map[string]int{}, ejectedUntil: map[string]time.Time{}, ejections: map[string]int{}}
}

// Success records a successful call. It ends the target's ejection and clears its failures.
func (e *Ejector) Success(name string) {
	delete(e.failures, name)
	delete(e.ejections, name)
	delete(e.ejectedUntil, name)
}

// Failure records a failed call and reports whether it ejects the target. poolSize is the number
// of targets in the pool.
func (e *Ejector) Failure(now time.Time, name string, poolSize int) bool {
	e.failures[name]++
	ejected := e.EjectedCount(now)
	if !e.Ejected(now, name) {
		ejected++
	}
	if e.failures[name] < failuresToEject || 2*ejected > poolSize {
		return false
	}
	duration := min(minEjection<<e.ejections[name], maxEjection)
	e.ejections[name] = min(e.ejections[name]+1, 5)
	e.ejectedUntil[name] = now.Add(duration)
	e.failures[name] = failuresToEject - 1
	return true
}

// Ejected reports whether the target is ejected at the given time.
func (e *Ejector) Ejected(now time.Time, name string) bool {
	return now.Before(e.ejectedUntil[name])
}

// EjectedCount returns the number of targets ejected at the given time.
func (e *Ejector) EjectedCount(now time.Time) int {
	n := 0
	for _, until := range e.ejectedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

package sched

import (
	"math"
	"time"
)

// Order names a way to order waiting calls of equal policy priority.
type Order string

// The orders. Fifo is the baseline.
const (
	// Age serves the program that started first.
	Age Order = "age"
	// Attained serves the program that has had the least service.
	Attained Order = "attained"
	Fifo     Order = "fifo"
)

// Work is what is known of a program whose call waits.
type Work struct {
	// Priority is the policy's, higher first.
	Priority int64
	Started  time.Time
	Arrived  time.Time
	// Attained is the service that the program had so far, in tokens.
	Attained int64
}

// priorityStep separates policy priorities in an engine's priority.
const (
	priorityStep = 1 << 52
	maxPriority  = 1000
)

// Rank is one number, higher first, that boxes and engines order by.
func Rank(order Order, w Work) int64 {
	base := max(-maxPriority, min(w.Priority, maxPriority)) * priorityStep
	switch order {
	case Attained:
		return base - int64(math.Log2(float64(w.Attained+1))*1000)*1_000_000 - w.Arrived.UnixMicro()%1_000_000
	case Fifo:
		return base - micros(w.Arrived)
	default:
		return base - micros(w.Started)
	}
}

// micros is the time in microseconds, cut so that it stays below priorityStep.
func micros(t time.Time) int64 {
	return t.UnixMicro() % priorityStep
}

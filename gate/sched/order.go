package sched

import (
	"math"
	"time"
)

// Order is a way to order waiting calls of equal priority.
type Order string

// The orders. Fifo is the baseline.
const (
	// OldestProgram runs the call of the program that started first.
	OldestProgram Order = "age"
	// Attained runs the call of the program that has received the least service.
	Attained Order = "attained"
	// Fifo runs the call that arrived first.
	Fifo Order = "fifo"
)

// ProgramProgress describes the program of a waiting call.
type ProgramProgress struct {
	// Priority is set by the policy; higher runs first.
	Priority int64
	// Started is when the program started, and Arrived when the call arrived.
	Started time.Time
	Arrived time.Time
	// Attained is the service that the program has received, in tokens.
	Attained int64
}

// priorityStep is the distance between two priorities in a rank, and maxPriority bounds priorities,
// so that ranks don't overflow.
const (
	priorityStep = 1 << 52
	maxPriority  = 1000
)

// Rank returns the number by which boxes and engines order waiting calls; higher runs first.
func Rank(order Order, p ProgramProgress) int64 {
	base := max(-maxPriority, min(p.Priority, maxPriority)) * priorityStep
	switch order {
	case Attained:
		return base - int64(math.Log2(float64(p.Attained+1))*1000)*1_000_000 - p.Arrived.UnixMicro()%1_000_000
	case Fifo:
		return base - micros(p.Arrived)
	default:
		return base - micros(p.Started)
	}
}

// micros returns the time in microseconds, modulo priorityStep.
func micros(t time.Time) int64 {
	return t.UnixMicro() % priorityStep
}

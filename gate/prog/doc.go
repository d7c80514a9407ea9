// Package prog runs programs: it keeps their turns in order, their history whole, and
// their spending within budget, on the box that owns the program's slot.
package prog

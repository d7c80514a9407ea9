// Package prog runs the turns of programs on the box that owns the program's slot. It keeps
// turns in order, the history complete and the spending within the budget.
package prog

// Package turns runs the turns of programs on the box that owns them: it builds the prompt
// from the turns before, keeps the budget, and has the answer in the log before its end.
package turns

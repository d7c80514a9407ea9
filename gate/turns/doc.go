// Package turns runs the turns of programs on the box that owns them: it builds the prompt from earlier
// turns, enforces the token budget, and writes the answer to the log before completing it to the caller.
package turns

// Package chain holds the state of the programs of one slot: their turns, the text that later turns
// continue from, and the tokens that count against their budgets. It does no I/O: changes return the
// records to write to the log, and the state is rebuilt from those records.
package chain

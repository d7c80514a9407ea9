// Package chain holds what an owner knows of the programs of one slot: their turns, the
// text that later turns go on from, and what their budgets have spent. It is pure state:
// it makes records for the log and is rebuilt from them.
package chain

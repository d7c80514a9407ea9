// Package shard assigns slots to boxes. A slot is a partition of the programs, and its state is held by one
// box at a time. When a box claims a slot, the log fences off the previous owner: two boxes may both consider
// themselves the owner, but only one of them can write.
package shard

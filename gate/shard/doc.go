// Package shard owns slots: shares of the programs whose state one box holds at a time.
// The log fences an owner off once another has claimed its slot, so that two boxes may
// believe that they own a slot and only one can write.
package shard

// Package desk holds an owner's in-memory state of one slot during one epoch, and decides
// which turn may run, which call may be dispatched and how many tokens may be spent. It does
// no I/O and reads no clock. It is not safe for concurrent use: only the slot's event loop
// may use it.
package desk

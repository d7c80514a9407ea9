// Package desk holds an owner's memory of one slot under one epoch, and its decisions:
// which turn may run, which call may be dispatched, and what may be spent. It does no
// input or output and reads no clock; the slot's event loop is its only user.
package desk

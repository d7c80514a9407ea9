// Package member merges what is said of boxes: the platform's lagging list and the
// boxes' own heartbeats. Its view only steers; it never decides ownership.
package member

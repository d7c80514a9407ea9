// Package member keeps this box's view of the other boxes. It merges the platform's list,
// which lags, with the heartbeats that boxes exchange. The view is used for routing only;
// the ownership of slots is decided by the log.
package member

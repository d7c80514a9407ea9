// Package member keeps this box's view of the other boxes. It merges the platform's list,
// which lags, with the heartbeats that boxes exchange. The view only guides decisions such as
// routing and claims of slots; the log decides which box owns a slot.
package member

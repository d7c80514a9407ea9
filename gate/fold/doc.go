// Package fold rebuilds a slot's state from its stream. It is a pure function of the
// log: every box that folds the same entries has the same state.
package fold

// Package fold rebuilds a slot's state by applying the entries of its log stream in order.
// The state depends on the entries alone: boxes that apply the same entries have the same state.
package fold

// Package fault defines the typed errors that packages return and that boxes send to callers
// and to each other.
package fault

// Package roster simulates the platform's list of boxes and targets, which readers see with a lag.
package roster

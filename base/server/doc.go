// Package server serves HTTP through go-zero's rest router, and reads and writes JSON bodies,
// problems and event streams. The load shedding, breakers, timeouts and logs of go-zero are
// disabled: the gate decides about admission, and calls that it accepts must not be cut off.
package server

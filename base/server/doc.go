// Package server serves HTTP through go-zero's rest router. The load shedding, breakers,
// timeouts and logs that rest brings are off: admission belongs to the gate, and a
// second judge would cut calls that the gate has accepted.
package server

// Package proxy is a TCP proxy that injects faults: delay, cuts of one or both
// directions, half-open connections and resets in mid stream.
package proxy

// Package proxy implements a TCP proxy that injects faults: delays, loss of all bytes in one or
// both directions, refused connections, and resets in the middle of a stream.
package proxy

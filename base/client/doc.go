// Package client makes HTTP calls through go-zero's httpc, with its circuit breakers off:
// limits and retries are decided in one place, by the gate.
package client

// Package client makes HTTP calls through go-zero's httpc and reads event streams. The circuit
// breakers of go-zero are disabled, since the gate decides about limits and retries.
package client

// Package front serves the HTTP API. It authenticates a request, finds the box that owns the
// program or idempotency key, and runs the request here or forwards it to that box and streams
// the response back.
package front

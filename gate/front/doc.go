// Package front serves callers over HTTP. It authenticates, finds the box that owns the
// program or key, and runs the request there or forwards it, streaming the answer through.
package front

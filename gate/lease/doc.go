// Package lease defines the requests, leases and messages that the queue of model calls
// exchanges with the rest of the box.
package lease

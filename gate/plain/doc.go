// Package plain runs calls of tools and plain services. A call that may not be repeated
// is written to the log before it is dispatched, and is dispatched once.
package plain

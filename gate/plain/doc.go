// Package plain runs calls of tools and plain services. A call that has a key and may not be
// repeated is recorded in the log before it is dispatched, and is dispatched at most once.
package plain

// Package admit queues model calls and decides which call runs next, and on which engine. One
// event loop owns the queue, the limits and the estimated state of the engines; other
// goroutines send it messages.
package admit

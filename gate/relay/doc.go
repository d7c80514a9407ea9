// Package relay carries one call to replicas and its answer back, without a log: a call
// that may not be repeated is sent on only where it is known that it has not run.
package relay

// Package spool keeps answers that callers read more slowly than replicas send them, within limits on the memory
// that this takes, and closes the connections of callers that have stopped reading.
package spool

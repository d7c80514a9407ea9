// Package remote carries turns and questions between boxes over HTTP/1.1. A message is a
// JSON header with its length before it, then bytes as they are; twirp has no streams.
package remote

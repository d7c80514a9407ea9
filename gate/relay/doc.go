// Package relay sends single calls to replicas and returns the answers, without using the log. A call that is
// not repeatable is sent to another replica only if it is known not to have run.
package relay

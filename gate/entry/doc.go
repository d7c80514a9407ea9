// Package entry takes the calls of callers: it finds the route, sends turns of programs to
// the box that owns them and other calls to a replica.
package entry

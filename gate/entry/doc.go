// Package entry handles incoming calls: it finds the route, checks the caller and its quota, and sends the
// turns of programs to the box that owns the program and other calls to a replica.
package entry

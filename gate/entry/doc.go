// Package entry handles incoming calls: it finds the route, checks the caller and its quota, and sends turns
// of programs to the box that owns them and other calls to a replica.
package entry

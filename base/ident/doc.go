// Package ident creates and parses the identifiers of slots and programs, and assigns keys to
// names by rendezvous hashing.
package ident

// Package mutant breaks the code on purpose, one promise at a time, and checks that the
// fuzz of the fleet finds it.
package mutant

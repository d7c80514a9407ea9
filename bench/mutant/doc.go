// Package mutant runs mutation tests: it applies one deliberate fault at a time to a copy of the
// code and checks that the property tests, or the tests of a package, fail.
package mutant

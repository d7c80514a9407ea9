// Package fixed runs tests that use rapid with a fixed seed, unless the command line sets one, so
// that CI results are reproducible.
package fixed

// Package sample makes the configurations and keys that development, tests and the bench
// start from: those of the two deployments, and a small one.
package sample

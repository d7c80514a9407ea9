// Package sample creates configurations and keys for development, tests and benchmarks, including
// those of the two example deployments.
package sample

// Package probe reads the resource usage of a process from /proc and fits lines through
// measurements.
package probe

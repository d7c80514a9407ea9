// Package probe reads what a process costs from the kernel, and fits lines through
// measurements.
package probe

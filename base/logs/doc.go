// Package logs reads the structured logs that boxes write.
package logs

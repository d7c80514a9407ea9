// Package logs parses the structured logs that boxes write.
package logs

// Package fault holds the typed failures that travel between parts and callers.
package fault

// Package memory bounds the bytes that a box holds for the calls in progress.
package memory

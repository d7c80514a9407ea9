// Package lines writes log lines without blocking the caller. Lines that repeat too often are suppressed, and
// lines that the output does not accept in time are dropped; both are counted.
package lines

// Package lines writes log lines without ever making the writer of one wait: lines that
// repeat too often are summed, and lines that standard output does not take are counted.
package lines

// Package shell is the command-line framework of the programs: it registers commands with their
// aliases, help and flags, runs them, and handles signals and exit codes.
package shell

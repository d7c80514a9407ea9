// Package shell is the command line that the programs share: commands register by name
// and are found with their aliases, help and flags.
package shell

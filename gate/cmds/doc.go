// Package cmds holds the commands of gate, one command per file.
package cmds

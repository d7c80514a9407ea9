// Package cmds holds stand's commands, one a file.
package cmds

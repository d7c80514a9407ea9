// Package cmds holds bench's commands, one a file.
package cmds

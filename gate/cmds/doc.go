// Package cmds holds gate's commands, one a file.
package cmds

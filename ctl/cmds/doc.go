// Package cmds holds mgctl's commands, one a file. None of them steers a single request.
package cmds

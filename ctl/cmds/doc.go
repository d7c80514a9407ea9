// Package cmds implements the commands of mgctl. No command changes the routing of a single request.
package cmds

// Package cmds implements the commands of stand. Each runs one simulated service.
package cmds

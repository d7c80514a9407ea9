// Package cmds implements the commands of bench.
package cmds

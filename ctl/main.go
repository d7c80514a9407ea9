// Command mgctl is the command-line tool with which operators manage mulleingate.
package main

import (
	"os"

	"mulleingate.dev/ctl/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

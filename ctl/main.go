// Command mgctl is the operators' command line of mulleingate.
package main

import (
	"os"

	"mulleingate.dev/ctl/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

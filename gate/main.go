// Command gate runs a box of mulleingate.
package main

import (
	"os"

	"mulleingate.dev/gate/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

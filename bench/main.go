// Command bench loads, breaks and measures mulleingate.
package main

import (
	"os"

	"mulleingate.dev/bench/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

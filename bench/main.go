// Command bench runs load tests, fault injection, mutation tests and measurements against mulleingate.
package main

import (
	"os"

	"mulleingate.dev/bench/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

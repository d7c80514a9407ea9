// Command stand simulates the platform's services for development and tests.
package main

import (
	"os"

	"mulleingate.dev/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command stand runs stand-ins of the platform's services.
package main

import (
	"os"

	"mulleingate.dev/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}

package cmds

import (
	"io"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"mulleingate.dev/base/shell"
)

const version = "0.1.0"

var commands = shell.New()

// Run runs the command that args name and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	proc.SetTimeToForceQuit(24 * time.Hour)
	return commands.Run("bench", "Runs load tests, fault injection, mutation tests and measurements", version, args, out, errOut)
}

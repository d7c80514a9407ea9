package cmds

import (
	"io"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"mulleingate.dev/base/shell"
	"mulleingate.dev/gate/parts"
)

var commands = shell.New()

// forceQuit outlasts any planned stop: go-zero would otherwise end the process by itself
// a few seconds after the signal.
const forceQuit = 24 * time.Hour

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	proc.SetTimeToForceQuit(forceQuit)
	return commands.Run("gate", "A box of mulleingate, the scheduler for agent programs", parts.Version, args, out, errOut)
}

package cmds

import (
	"io"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"mulleingate.dev/base/shell"
	"mulleingate.dev/gate/parts"
)

var commands = shell.New()

// forceQuitTimeout is longer than any graceful stop takes. By default, go-zero ends the process
// a few seconds after the signal.
const forceQuitTimeout = 24 * time.Hour

// Run runs the command that args name and returns the exit code of the process.
func Run(args []string, out, errOut io.Writer) int {
	proc.SetTimeToForceQuit(forceQuitTimeout)
	return commands.Run("gate", "A box of mulleingate, the scheduler for agent programs", parts.Version, args, out, errOut)
}

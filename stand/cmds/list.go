package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
	"mulleingate.dev/stand/roster"
)

func init() {
	commands.Register(&listCmd{})
}

// listCmd runs the simulated platform list.
type listCmd struct {
	addrFlag
	file string
	lag  time.Duration
}

func (*listCmd) Aliases() []string { return []string{"list", "roster"} }
func (*listCmd) Help() string      { return "run the list of boxes and targets" }

func (l *listCmd) Flags(cmd *cobra.Command) {
	l.addFlag(cmd)
	cmd.Flags().StringVar(&l.file, "file", "", "JSON file with the initial list")
	cmd.Flags().DurationVar(&l.lag, "lag", time.Second, "delay after which readers see a change")
}

func (l *listCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	var initial types.PlatformList
	if l.file != "" {
		raw, err := os.ReadFile(l.file)
		if err != nil {
			return fault.Refuse(fault.BadSettings, "file: cannot be read").WithCause(err)
		}
		if err := json.Unmarshal(raw, &initial); err != nil {
			return fault.Refuse(fault.BadSettings, "file: not a list in JSON").WithCause(err)
		}
	}
	return l.serve(ctx, out, roster.New(initial, l.lag).Routes())
}

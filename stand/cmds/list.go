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
	commands.Register(&list{})
}

// list runs the platform's list.
type list struct {
	address
	file string
	lag  time.Duration
}

func (*list) Aliases() []string { return []string{"list", "roster"} }
func (*list) Help() string      { return "run the list of boxes and targets" }

func (l *list) Flags(cmd *cobra.Command) {
	l.flag(cmd)
	cmd.Flags().StringVar(&l.file, "file", "", "JSON file with the first list")
	cmd.Flags().DurationVar(&l.lag, "lag", time.Second, "how far readers are behind")
}

func (l *list) Execute(ctx context.Context, out io.Writer, _ []string) error {
	var first types.PlatformList
	if l.file != "" {
		raw, err := os.ReadFile(l.file)
		if err != nil {
			return fault.Refuse(fault.BadSettings, "file: cannot be read").WithCause(err)
		}
		if err := json.Unmarshal(raw, &first); err != nil {
			return fault.Refuse(fault.BadSettings, "file: not a list in JSON").WithCause(err)
		}
	}
	return l.serve(ctx, out, roster.New(first, l.lag).Routes())
}

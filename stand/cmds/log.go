package cmds

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/types"
	"mulleingate.dev/stand/applog"
)

func init() {
	commands.Register(&logCmd{})
}

// logCmd runs the log service.
type logCmd struct {
	address
	limit int
	keep  time.Duration
}

func (*logCmd) Aliases() []string { return []string{"log"} }
func (*logCmd) Help() string      { return "run the append-only log" }

func (l *logCmd) Flags(cmd *cobra.Command) {
	l.flag(cmd)
	cmd.Flags().IntVar(&l.limit, "limit", 0, "appends a second; 0 is without limit")
	cmd.Flags().DurationVar(&l.keep, "keep", 0, "how long entries are kept; 0 is for ever")
}

func (l *logCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	store := applog.New(applog.Faults{Limit: l.limit, Keep: types.Duration(l.keep)})
	return l.serve(ctx, out, store.Routes())
}

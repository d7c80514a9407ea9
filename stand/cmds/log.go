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

// logCmd runs the simulated log service.
type logCmd struct {
	addrFlag
	limit int
	keep  time.Duration
}

func (*logCmd) Aliases() []string { return []string{"log"} }
func (*logCmd) Help() string      { return "run the append-only log" }

func (l *logCmd) Flags(cmd *cobra.Command) {
	l.addFlag(cmd)
	cmd.Flags().IntVar(&l.limit, "limit", 0, "appends per second; 0 means no limit")
	cmd.Flags().DurationVar(&l.keep, "keep", 0, "how long entries are kept; 0 keeps them forever")
}

func (l *logCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	store := applog.New(applog.Faults{AppendsPerSecond: l.limit, Retention: types.Duration(l.keep)})
	return l.serve(ctx, out, store.Routes())
}

package cmds

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/shell"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/parts"
)

func init() {
	commands.Register(&run{ReloadRequests: shell.NewReloadRequests()})
}

// run runs a box until it is told to stop.
type run struct {
	shell.ReloadRequests
	settings string
}

func (*run) Aliases() []string { return []string{"run"} }
func (*run) Help() string      { return "run a box" }

func (r *run) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&r.settings, "settings", "s", "box.json", "settings file")
}

func (r *run) Execute(ctx context.Context, _ io.Writer, _ []string) error {
	set, err := conf.Load(r.settings)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: set.Log.Slog()}))
	slog.SetDefault(logger)
	box := parts.New(set, logger)
	if err := box.Start(ctx); err != nil {
		return err
	}
	return r.Serve(ctx, func() { r.reload(logger) }, box.Stop)
}

// reload tells whether a restart could take the settings as they are now; a running box keeps
// those that it has.
func (r *run) reload(logger *slog.Logger) {
	if _, err := conf.Load(r.settings); err != nil {
		logger.Error("run: settings not reloaded", "cause", err)
		return
	}
	logger.Info("run: settings reloaded, a restart takes them")
}

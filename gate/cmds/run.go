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

// run runs a box until the process gets a signal to stop.
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
	settings, err := conf.Load(r.settings)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: settings.Log.SlogLevel()}))
	slog.SetDefault(logger)
	box := parts.New(settings, logger)
	if err := box.Start(ctx); err != nil {
		return err
	}
	return r.Serve(ctx, func() { r.checkSettings(logger) }, box.Stop)
}

// checkSettings logs whether the settings file, as it is now, is valid for the next start. A
// running box keeps the settings that it started with.
func (r *run) checkSettings(logger *slog.Logger) {
	if _, err := conf.Load(r.settings); err != nil {
		logger.Error("run: changed settings are not valid", "cause", err)
		return
	}
	logger.Info("run: changed settings are valid, restart the box to apply them")
}

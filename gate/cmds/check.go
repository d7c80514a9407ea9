package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mulleingate.dev/gate/conf"
	"mulleingate.dev/gate/parts"
)

func init() {
	commands.Register(&check{})
	commands.Register(&version{})
}

// check reads a settings file and reports all problems in it.
type check struct {
	settings string
}

func (*check) Aliases() []string { return []string{"check"} }
func (*check) Help() string      { return "check a settings file" }

func (c *check) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&c.settings, "settings", "s", "box.json", "settings file")
}

func (c *check) Execute(_ context.Context, out io.Writer, _ []string) error {
	settings, err := conf.Load(c.settings)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "settings of box %s in zone %s are valid\n", settings.Box.Name, settings.Box.Zone)
	return nil
}

// version prints the version.
type version struct{}

func (*version) Aliases() []string    { return []string{"version"} }
func (*version) Help() string         { return "print the version" }
func (*version) Flags(*cobra.Command) {}

func (*version) Execute(_ context.Context, out io.Writer, _ []string) error {
	_, _ = fmt.Fprintln(out, "gate", parts.Version)
	return nil
}

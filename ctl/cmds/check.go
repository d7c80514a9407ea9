package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/types"
)

func init() {
	for _, s := range scopes() {
		commands.RegisterIn(s.group, &check{scope: s})
		commands.RegisterIn(s.group, &diff{check: check{scope: s}})
	}
}

// check validates a file like publish does, but doesn't publish it.
type check struct {
	commonFlags
	scope scope
	file  string
}

func (*check) Aliases() []string { return []string{"check"} }
func (*check) Help() string      { return "check a file: types, cost limits and samples" }

func (c *check) Flags(cmd *cobra.Command) {
	c.addFlags(cmd)
	cmd.Flags().StringVarP(&c.file, "file", "f", "", "file to look at")
}

func (c *check) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	rev, _, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	cfg, err := c.scope.applyFile(c.file, rev.Config)
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		// publish creates the first data key; check uses a placeholder.
		cfg.Keys = []types.DataKey{{ID: "k1"}}
	}
	if err := revs.Check(cfg); err != nil {
		return fault.Refuse(fault.BadConfig, err.Error())
	}
	_, _ = fmt.Fprintln(out, "ok")
	return nil
}

// diff shows what publishing a file would change.
type diff struct {
	check
}

func (*diff) Aliases() []string { return []string{"diff"} }
func (*diff) Help() string      { return "show what publishing a file would change" }

func (d *diff) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := d.loadSettings()
	if err != nil {
		return err
	}
	rev, _, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	cfg, err := d.scope.applyFile(d.file, rev.Config)
	if err != nil {
		return err
	}
	changes := unifiedDiff(indentedJSON(d.scope.extract(rev.Config)), indentedJSON(d.scope.extract(cfg)))
	if changes == "" {
		changes = "no change\n"
	}
	_, err = fmt.Fprint(out, changes)
	if err != nil {
		return fault.Fail(fault.Internal, "cannot write output").WithCause(err)
	}
	return nil
}

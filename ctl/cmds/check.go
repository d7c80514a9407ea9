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

// check checks a file as publishing would, without publishing.
type check struct {
	common
	scope scope
	file  string
}

func (*check) Aliases() []string { return []string{"check"} }
func (*check) Help() string      { return "check a file: types, cost limits and samples" }

func (c *check) Flags(cmd *cobra.Command) {
	c.flags(cmd)
	cmd.Flags().StringVarP(&c.file, "file", "f", "", "file to look at")
}

func (c *check) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := c.load()
	if err != nil {
		return err
	}
	rev, _, err := current(ctx, file)
	if err != nil {
		return err
	}
	cfg, err := c.scope.read(c.file, rev.Config)
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		// Publishing makes the first data key.
		cfg.Keys = []types.DataKey{{ID: "k1"}}
	}
	if err := revs.Check(cfg); err != nil {
		return fault.Refuse(fault.BadConfig, err.Error())
	}
	_, _ = fmt.Fprintln(out, "ok")
	return nil
}

// diff shows what a file would change.
type diff struct {
	check
}

func (*diff) Aliases() []string { return []string{"diff"} }
func (*diff) Help() string      { return "show what publishing a file would change" }

func (d *diff) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := d.load()
	if err != nil {
		return err
	}
	rev, _, err := current(ctx, file)
	if err != nil {
		return err
	}
	cfg, err := d.scope.read(d.file, rev.Config)
	if err != nil {
		return err
	}
	changes := compare(text(d.scope.pick(rev.Config)), text(d.scope.pick(cfg)))
	if changes == "" {
		changes = "no change\n"
	}
	_, err = fmt.Fprint(out, changes)
	if err != nil {
		return fault.Fail(fault.Internal, "output cannot be written").WithCause(err)
	}
	return nil
}

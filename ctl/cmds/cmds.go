package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/shell"
	"mulleingate.dev/base/types"
	"mulleingate.dev/ctl/conn"
)

// version is the program's version.
const version = "0.1.0"

const (
	groupConfig  = "config"
	groupPolicy  = "policy"
	groupProgram = "program"
	groupRequest = "request"
	groupStatus  = "status"
	groupKeys    = "keys"
)

var commands = describe(shell.New())

func describe(set *shell.CommandSet) *shell.CommandSet {
	set.Describe(groupConfig, "the whole configuration: check, diff, publish, show, history, revert")
	set.Describe(groupPolicy, "the policy programs alone: check, diff, publish, show, history, revert")
	set.Describe(groupProgram, "why a program's calls went where they went")
	set.Describe(groupRequest, "why a request went where it went")
	set.Describe(groupStatus, "boxes, slots, targets, lag and budgets as the boxes see them")
	set.Describe(groupKeys, "make and rotate keys")
	return set
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	return commands.Run("mgctl", "Operates mulleingate by publishing configuration and policies", version, args, out, errOut)
}

// common are the flags that all commands share.
type common struct {
	settings string
	output   string
}

func (c *common) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.settings, "settings", "mgctl.json", "settings file")
	cmd.Flags().StringVarP(&c.output, "output", "o", "table", "table or json")
}

func (c *common) load() (conn.File, error) {
	if c.output != "table" && c.output != "json" {
		return conn.File{}, fault.Refuse(fault.BadRequest, "output: not table or json")
	}
	return conn.Load(c.settings)
}

// current reads the stream and returns the revision in force.
func current(ctx context.Context, file conn.File) (types.Revision, []revs.HistoryEntry, error) {
	fold, all, err := revs.History(ctx, file.Client(), file.Public())
	if err != nil {
		return types.Revision{}, nil, err
	}
	if fold.Current == nil {
		return types.Revision{}, all, nil
	}
	return *fold.Current, all, nil
}

// print writes v as JSON, or as a table by rows.
func (c *common) print(out io.Writer, v any, head string, rows func(w io.Writer)) error {
	if c.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return fault.Fail(fault.Internal, "output does not encode").WithCause(err)
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, head)
	rows(w)
	if err := w.Flush(); err != nil {
		return fault.Fail(fault.Internal, "output cannot be written").WithCause(err)
	}
	return nil
}

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

const version = "0.1.0"

const (
	groupConfig  = "config"
	groupPolicy  = "policy"
	groupProgram = "program"
	groupRequest = "request"
	groupStatus  = "status"
	groupKeys    = "keys"
)

var commands = describeGroups(shell.New())

func describeGroups(set *shell.CommandSet) *shell.CommandSet {
	set.Describe(groupConfig, "the whole configuration: check, diff, publish, show, history, revert")
	set.Describe(groupPolicy, "the policy programs alone: check, diff, publish, show, history, revert")
	set.Describe(groupProgram, "why a program's calls went where they went")
	set.Describe(groupRequest, "why a request went where it went")
	set.Describe(groupStatus, "boxes, slots, targets, lag and budgets as the boxes see them")
	set.Describe(groupKeys, "make and rotate keys")
	return set
}

// Run parses and runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	return commands.Run("mgctl", "Operates mulleingate by publishing configuration and policies", version, args, out, errOut)
}

// commonFlags are the flags shared by the commands that read the settings file.
type commonFlags struct {
	settingsPath string
	output       string
}

func (c *commonFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.settingsPath, "settings", "mgctl.json", "settings file")
	cmd.Flags().StringVarP(&c.output, "output", "o", "table", "table or json")
}

func (c *commonFlags) loadSettings() (conn.Settings, error) {
	if c.output != "table" && c.output != "json" {
		return conn.Settings{}, fault.Refuse(fault.BadRequest, "output: not table or json")
	}
	return conn.Load(c.settingsPath)
}

// currentRevision reads the configuration stream and returns the revision in force, which is
// the zero value if there is none, and all entries that the log still holds.
func currentRevision(ctx context.Context, settings conn.Settings) (types.Revision, []revs.HistoryEntry, error) {
	state, entries, err := revs.History(ctx, settings.LogClient(), settings.PublicKeys())
	if err != nil {
		return types.Revision{}, nil, err
	}
	if state.Current == nil {
		return types.Revision{}, entries, nil
	}
	return *state.Current, entries, nil
}

// print writes v as JSON, or as a table of the header and the rows that writeRows writes.
func (c *commonFlags) print(out io.Writer, v any, header string, writeRows func(w io.Writer)) error {
	if c.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return fault.Fail(fault.Internal, "cannot encode output").WithCause(err)
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	writeRows(w)
	if err := w.Flush(); err != nil {
		return fault.Fail(fault.Internal, "cannot write output").WithCause(err)
	}
	return nil
}

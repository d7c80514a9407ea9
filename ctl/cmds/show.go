package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
)

func init() {
	for _, s := range scopes() {
		commands.RegisterIn(s.group, &show{scope: s})
		commands.RegisterIn(s.group, &history{})
	}
}

// show prints the configuration or policy in force.
type show struct {
	commonFlags
	scope scope
}

func (*show) Aliases() []string          { return []string{"show"} }
func (*show) Help() string               { return "print what is in force" }
func (s *show) Flags(cmd *cobra.Command) { s.addFlags(cmd) }

func (s *show) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := s.loadSettings()
	if err != nil {
		return err
	}
	rev, _, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	if rev.Number == 0 {
		return fault.Refuse(fault.BadRequest, "no revision has been published")
	}
	_, err = fmt.Fprintln(out, indentedJSON(s.scope.extract(rev.Config)))
	if err != nil {
		return fault.Fail(fault.Internal, "cannot write output").WithCause(err)
	}
	return nil
}

// history lists the entries of the configuration stream and whether each was accepted.
type history struct {
	commonFlags
}

func (*history) Aliases() []string          { return []string{"history", "log"} }
func (*history) Help() string               { return "list the revisions that the log still holds, with who won" }
func (h *history) Flags(cmd *cobra.Command) { h.addFlags(cmd) }

func (h *history) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := h.loadSettings()
	if err != nil {
		return err
	}
	_, entries, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	return h.print(out, entries, "OFFSET\tREVISION\tVERDICT\tAT\tAUTHOR\tNOTE", func(w io.Writer) {
		for _, entry := range entries {
			rev := entry.Revision
			_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", entry.Offset, rev.Number, entry.Verdict, rev.At.Format(time.RFC3339), rev.Author, rev.Note)
		}
	})
}

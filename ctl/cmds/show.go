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

// show prints what is in force.
type show struct {
	common
	scope scope
}

func (*show) Aliases() []string          { return []string{"show"} }
func (*show) Help() string               { return "print what is in force" }
func (s *show) Flags(cmd *cobra.Command) { s.flags(cmd) }

func (s *show) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := s.load()
	if err != nil {
		return err
	}
	rev, _, err := current(ctx, file)
	if err != nil {
		return err
	}
	if rev.Number == 0 {
		return fault.Refuse(fault.BadRequest, "nothing is published")
	}
	_, err = fmt.Fprintln(out, text(s.scope.pick(rev.Config)))
	if err != nil {
		return fault.Fail(fault.Internal, "output cannot be written").WithCause(err)
	}
	return nil
}

// history lists the entries of the configuration stream with their verdicts.
type history struct {
	common
}

func (*history) Aliases() []string          { return []string{"history", "log"} }
func (*history) Help() string               { return "list the revisions that the log still holds, with who won" }
func (h *history) Flags(cmd *cobra.Command) { h.flags(cmd) }

func (h *history) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := h.load()
	if err != nil {
		return err
	}
	_, all, err := current(ctx, file)
	if err != nil {
		return err
	}
	return h.print(out, all, "OFFSET\tREVISION\tVERDICT\tAT\tAUTHOR\tNOTE", func(w io.Writer) {
		for _, seen := range all {
			rev := seen.Revision
			_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", seen.Offset, rev.Number, seen.Verdict, rev.At.Format(time.RFC3339), rev.Author, rev.Note)
		}
	})
}

package cmds

import (
	"context"
	"io"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"mulleingate.dev/base/fault"
)

func init() {
	commands.Register(&manual{})
}

// manual writes the manual pages from the command tree.
type manual struct {
	dir, format string
}

func (*manual) Aliases() []string { return []string{"manual"} }
func (*manual) Help() string      { return "write the manual, as man pages or markdown" }

func (m *manual) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&m.dir, "dir", ".", "folder to write to")
	cmd.Flags().StringVar(&m.format, "format", "markdown", "markdown or man")
}

func (m *manual) Execute(_ context.Context, out io.Writer, _ []string) error {
	// Building the tree declares the flags anew, which resets them.
	dir, format := m.dir, m.format
	root := commands.Root("mgctl", "Operates mulleingate by publishing configuration and policies", version, out)
	root.DisableAutoGenTag = true
	var err error
	switch format {
	case "markdown":
		err = doc.GenMarkdownTree(root, dir)
	case "man":
		err = doc.GenManTree(root, &doc.GenManHeader{Title: "MGCTL", Section: "1", Source: "mulleingate"}, dir)
	default:
		return fault.Refuse(fault.BadRequest, "format: not markdown or man")
	}
	if err != nil {
		return fault.Fail(fault.Internal, "manual cannot be written").WithCause(err)
	}
	return nil
}

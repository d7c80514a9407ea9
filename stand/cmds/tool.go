package cmds

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"mulleingate.dev/stand/tool"
	"mulleingate.dev/stand/weight"
)

func init() {
	commands.Register(&toolCmd{})
	commands.Register(&weights{})
}

// toolCmd runs a tool or plain service.
type toolCmd struct {
	address
	name string
}

func (*toolCmd) Aliases() []string { return []string{"tool", "service"} }
func (*toolCmd) Help() string      { return "run a tool that counts its effects by key" }

func (t *toolCmd) Flags(cmd *cobra.Command) {
	t.flag(cmd)
	cmd.Flags().StringVar(&t.name, "name", "booking", "name of the service")
}

func (t *toolCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	return t.serve(ctx, out, tool.New(t.name).Routes())
}

// weights runs the weight store.
type weights struct {
	address
	rate float64
}

func (*weights) Aliases() []string { return []string{"weights"} }
func (*weights) Help() string      { return "run the rate-limited weight store" }

func (w *weights) Flags(cmd *cobra.Command) {
	w.flag(cmd)
	cmd.Flags().Float64Var(&w.rate, "rate", 1, "fetches a second")
}

func (w *weights) Execute(ctx context.Context, out io.Writer, _ []string) error {
	return w.serve(ctx, out, weight.New(w.rate).Routes())
}

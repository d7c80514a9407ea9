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
	commands.Register(&weightsCmd{})
}

// toolCmd runs a simulated tool or plain service.
type toolCmd struct {
	addrFlag
	name string
}

func (*toolCmd) Aliases() []string { return []string{"tool", "service"} }
func (*toolCmd) Help() string      { return "run a tool that counts its effects by key" }

func (t *toolCmd) Flags(cmd *cobra.Command) {
	t.addFlag(cmd)
	cmd.Flags().StringVar(&t.name, "name", "booking", "name of the service")
}

func (t *toolCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	return t.serve(ctx, out, tool.New(t.name).Routes())
}

// weightsCmd runs the simulated weight store.
type weightsCmd struct {
	addrFlag
	rate float64
}

func (*weightsCmd) Aliases() []string { return []string{"weights"} }
func (*weightsCmd) Help() string      { return "run the rate-limited weight store" }

func (w *weightsCmd) Flags(cmd *cobra.Command) {
	w.addFlag(cmd)
	cmd.Flags().Float64Var(&w.rate, "rate", 1, "fetches per second")
}

func (w *weightsCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	return w.serve(ctx, out, weight.New(w.rate).Routes())
}

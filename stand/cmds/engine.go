package cmds

import (
	"context"
	"io"
	"net/netip"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/stand/model"
)

func init() {
	commands.Register(&engine{})
}

// engine runs a model engine.
type engine struct {
	address
	name    string
	models  []string
	weights string
	batch   int
	cache   int64
	fenced  bool
}

func (*engine) Aliases() []string { return []string{"engine", "model"} }
func (*engine) Help() string      { return "run a model engine" }

func (e *engine) Flags(cmd *cobra.Command) {
	e.flag(cmd)
	cmd.Flags().StringVar(&e.name, "name", "engine-0", "name on the list")
	cmd.Flags().StringSliceVar(&e.models, "models", []string{"planner"}, "models it serves")
	cmd.Flags().StringVar(&e.weights, "weights", "", "address of the weight store")
	cmd.Flags().IntVar(&e.batch, "batch", 16, "streams in one batch")
	cmd.Flags().Int64Var(&e.cache, "cache", 100_000, "prefix cache in tokens")
	cmd.Flags().BoolVar(&e.fenced, "fenced", true, "refuse orders with an old fencing number")
}

func (e *engine) Execute(ctx context.Context, out io.Writer, _ []string) error {
	var weights netip.AddrPort
	if e.weights != "" {
		addr, err := netip.ParseAddrPort(e.weights)
		if err != nil {
			return fault.Refuse(fault.BadSettings, "weights: not a numeric address with a port")
		}
		weights = addr
	}
	spec := model.DefaultSpec(e.name, e.models...)
	spec.MaxBatch, spec.CacheSize, spec.Fenced = e.batch, e.cache, e.fenced
	made := model.New(spec)
	go made.Run(ctx)
	return e.serve(ctx, out, model.NewServer(made, weights).Routes())
}

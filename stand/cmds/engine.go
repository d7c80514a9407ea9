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
	commands.Register(&engineCmd{})
}

// engineCmd runs a simulated model engine.
type engineCmd struct {
	addrFlag
	name    string
	models  []string
	weights string
	batch   int
	cache   int64
	fenced  bool
}

func (*engineCmd) Aliases() []string { return []string{"engine", "model"} }
func (*engineCmd) Help() string      { return "run a model engine" }

func (e *engineCmd) Flags(cmd *cobra.Command) {
	e.addFlag(cmd)
	cmd.Flags().StringVar(&e.name, "name", "engine-0", "name in the platform list")
	cmd.Flags().StringSliceVar(&e.models, "models", []string{"planner"}, "models it serves")
	cmd.Flags().StringVar(&e.weights, "weights", "", "address of the weight store")
	cmd.Flags().IntVar(&e.batch, "batch", 16, "maximum number of streams in a batch")
	cmd.Flags().Int64Var(&e.cache, "cache", 100_000, "size of the prefix cache, in tokens")
	cmd.Flags().BoolVar(&e.fenced, "fenced", true, "reject orders with an old fencing number")
}

func (e *engineCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
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
	engine := model.New(spec)
	go engine.Run(ctx)
	return e.serve(ctx, out, model.NewServer(engine, weights).Routes())
}

package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/bench/mutant"
)

func init() {
	commands.Register(&mutate{})
}

// mutate runs the mutation tests and fails if a mutant is not found.
type mutate struct {
	opts mutant.Options
	only string
}

func (*mutate) Aliases() []string { return []string{"mutate"} }
func (*mutate) Help() string {
	return "apply one deliberate fault at a time and check that the tests find it"
}

func (m *mutate) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&m.opts.Root, "root", ".", "checkout to copy")
	cmd.Flags().StringVar(&m.opts.Seed, "seed", "20261202", "seed of the property tests")
	cmd.Flags().StringVar(&m.opts.MaxPlans, "checks", "300", "most plans that the property test of the fleet tries")
	cmd.Flags().DurationVar(&m.opts.Timeout, "wait", 3*time.Minute, "time limit of one mutant")
	cmd.Flags().StringVar(&m.only, "only", "", "run this mutant only")
}

func (m *mutate) Execute(ctx context.Context, out io.Writer, _ []string) error {
	var chosen []mutant.Mutant
	for _, mut := range mutant.All() {
		if m.only == "" || m.only == mut.Name {
			chosen = append(chosen, mut)
		}
	}
	missed := 0
	_, _ = fmt.Fprintln(out, "| mutant | promise | found | by the fuzz of | plans | steps | broken | seconds |\n|---|---|---|---|---|---|---|---|")
	err := mutant.Run(ctx, m.opts, chosen, func(res mutant.Result) {
		if !res.Found {
			missed++
		}
		_, _ = fmt.Fprintf(out, "| %s | %s | %v | %s | %s | %d | %s | %.0f |\n", res.Mutant.Name, res.Mutant.Property, res.Found, res.TestedBy, res.PlansTried, res.Steps, res.Violations, res.Took.Seconds())
	})
	if err == nil && missed > 0 {
		return fault.Fail(fault.Internal, fmt.Sprintf("%d mutants were not found", missed))
	}
	return err
}

package cmds

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/logs"
	"mulleingate.dev/bench/recap"
	"mulleingate.dev/bench/report"
)

func init() {
	commands.Register(&summary{})
}

// summary reports from logs where calls spent their time and why they were refused or failed.
type summary struct {
	every time.Duration
	svg   string
	csv   string
	// routes is the number of routes in the plot.
	routes int
}

func (*summary) Aliases() []string { return []string{"summary"} }
func (*summary) Help() string {
	return "summarize logs of boxes by route and time: bench summary FILE..."
}

func (s *summary) Flags(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&s.every, "every", time.Second, "length of one interval")
	cmd.Flags().StringVar(&s.svg, "svg", "", "also draw the calls by time to this file")
	cmd.Flags().IntVar(&s.routes, "routes", 3, "how many routes to draw, the busiest first")
	cmd.Flags().StringVar(&s.csv, "csv", "", "also write the table to this file")
}

func (s *summary) Execute(_ context.Context, out io.Writer, args []string) error {
	if len(args) == 0 || s.every <= 0 {
		return fault.Refuse(fault.BadRequest, "at least one log file and an interval above zero are needed")
	}
	var all []logs.Line
	for _, name := range args {
		read, err := logs.ReadFile(name)
		if err != nil {
			return err
		}
		all = append(all, read...)
	}
	sums := recap.Summarize(all, s.every)
	table := sums.Table()
	table.Markdown(out)
	if s.csv != "" {
		if err := table.CSV(s.csv); err != nil {
			return err
		}
	}
	if s.svg == "" {
		return nil
	}
	return report.Plot(s.svg, "calls by route", "s", "calls in "+s.every.String(), sums.Series(s.routes))
}

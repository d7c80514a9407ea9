package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/types"
)

// figures prints the boxes' counters and histograms.
type figures struct {
	common
	match string
}

func (*figures) Aliases() []string { return []string{"figures", "metrics"} }
func (*figures) Help() string {
	return "print counters and histograms: budgets, claims, log lag, latency per workspace and class"
}

func (f *figures) Flags(cmd *cobra.Command) {
	f.flags(cmd)
	cmd.Flags().StringVar(&f.match, "match", "", "print only names that hold this text")
}

// boxFigures is a box's answer.
type boxFigures struct {
	Addr netip.AddrPort `json:"addr"`
	types.Metrics
}

func (f *figures) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := f.load()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	var all []boxFigures
	for _, addr := range file.Boxes {
		b := boxFigures{Addr: addr}
		if err := cli.Call(ctx, http.MethodGet, "http://"+addr.String()+"/metrics", nil, &b.Metrics); err != nil {
			_, _ = fmt.Fprintf(out, "# %s does not answer\n", addr)
			continue
		}
		all = append(all, b)
	}
	return f.print(out, all, "BOX\tNAME\tCOUNT\tP50\tP95\tP99", func(w io.Writer) {
		for _, b := range all {
			f.rows(w, b)
		}
	})
}

func (f *figures) rows(w io.Writer, b boxFigures) {
	var lines []string
	for name, n := range b.Counters {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d", b.Addr, name, n))
	}
	for name, n := range b.Gauges {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d", b.Addr, name, n))
	}
	for name, h := range b.Histograms {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%.3f ms\t%.3f ms\t%.3f ms", b.Addr, name, h.Count, h.P50/1000, h.P95/1000, h.P99/1000))
	}
	sort.Strings(lines)
	for _, line := range lines {
		if strings.Contains(line, f.match) {
			_, _ = fmt.Fprintln(w, line)
		}
	}
}

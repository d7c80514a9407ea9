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

// metrics prints the boxes' counters and histograms.
type metrics struct {
	commonFlags
	match string
}

func (*metrics) Aliases() []string { return []string{"figures", "metrics"} }
func (*metrics) Help() string {
	return "print counters and histograms: budgets, claims, log lag, latency per workspace and class"
}

func (m *metrics) Flags(cmd *cobra.Command) {
	m.addFlags(cmd)
	cmd.Flags().StringVar(&m.match, "match", "", "print only names that hold this text")
}

// boxMetrics is the metrics of one box.
type boxMetrics struct {
	Addr netip.AddrPort `json:"addr"`
	types.Metrics
}

func (m *metrics) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := m.loadSettings()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	var answers []boxMetrics
	for _, addr := range settings.Boxes {
		b := boxMetrics{Addr: addr}
		if err := cli.Call(ctx, http.MethodGet, "http://"+addr.String()+"/metrics", nil, &b.Metrics); err != nil {
			_, _ = fmt.Fprintf(out, "# %s does not answer\n", addr)
			continue
		}
		answers = append(answers, b)
	}
	return m.print(out, answers, "BOX\tNAME\tCOUNT\tP50\tP95\tP99", func(w io.Writer) {
		for _, b := range answers {
			m.writeRows(w, b)
		}
	})
}

func (m *metrics) writeRows(w io.Writer, b boxMetrics) {
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
		if strings.Contains(line, m.match) {
			_, _ = fmt.Fprintln(w, line)
		}
	}
}

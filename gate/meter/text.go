package meter

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"mulleingate.dev/base/types"
)

// prefix begins the name of every figure in the exposition format.
const prefix = "mulleingate_"

// WriteText writes all figures in the usual text exposition format. Times are in
// microseconds.
func (m *Meter) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	report := m.Report()
	writeNumbers(w, "counter", "_total", report.Counters)
	writeNumbers(w, "gauge", "", report.Gauges)
	writeHistograms(w, report.Histograms)
	return w.Flush()
}

func writeNumbers(w *bufio.Writer, kind, suffix string, values map[string]int64) {
	typed := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		base, labels := split(name)
		if base != typed {
			_, _ = fmt.Fprintf(w, "# TYPE %s%s %s\n", base, suffix, kind) // Flush tells of a failure
			typed = base
		}
		_, _ = fmt.Fprintf(w, "%s%s%s %d\n", base, suffix, braces(labels), values[name])
	}
}

func writeHistograms(w *bufio.Writer, values map[string]types.Histogram) {
	typed := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		base, labels := split(name)
		if base != typed {
			_, _ = fmt.Fprintf(w, "# TYPE %s_us summary\n", base) // Flush tells of a failure
			typed = base
		}
		h := values[name]
		for _, q := range []struct {
			of    string
			value float64
		}{{"0.5", h.P50}, {"0.95", h.P95}, {"0.99", h.P99}} {
			_, _ = fmt.Fprintf(w, "%s_us%s %g\n", base, braces(join(labels, `quantile="`+q.of+`"`)), q.value)
		}
		_, _ = fmt.Fprintf(w, "%s_us_sum%s %g\n", base, braces(labels), h.Mean*float64(h.Count))
		_, _ = fmt.Fprintf(w, "%s_us_count%s %d\n", base, braces(labels), h.Count)
	}
}

// split turns a name such as relay.time{class=look} into a base name and labels.
func split(name string) (base, labels string) {
	base, rest, _ := strings.Cut(name, "{")
	base = prefix + strings.Map(plain, base)
	for _, pair := range strings.Split(strings.TrimSuffix(rest, "}"), ",") {
		key, value, ok := strings.Cut(pair, "=")
		if ok {
			labels = join(labels, strings.Map(plain, key)+`="`+strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(value)+`"`)
		}
	}
	return base, labels
}

func plain(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
		return r
	default:
		return '_'
	}
}

func join(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

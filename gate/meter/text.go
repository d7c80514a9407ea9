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

// prefix is prepended to the name of every metric in the exposition format.
const prefix = "mulleingate_"

// WriteText writes all metrics in the Prometheus text exposition format. Durations are in microseconds.
func (m *Meter) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	report := m.Report()
	writeNumbers(w, "counter", "_total", report.Counters)
	writeNumbers(w, "gauge", "", report.Gauges)
	writeHistograms(w, report.Histograms)
	return w.Flush()
}

func writeNumbers(w *bufio.Writer, kind, suffix string, values map[string]int64) {
	lastTyped := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		base, labels := splitName(name)
		if base != lastTyped {
			_, _ = fmt.Fprintf(w, "# TYPE %s%s %s\n", base, suffix, kind) // Flush returns the error
			lastTyped = base
		}
		_, _ = fmt.Fprintf(w, "%s%s%s %d\n", base, suffix, wrapLabels(labels), values[name])
	}
}

func writeHistograms(w *bufio.Writer, values map[string]types.Histogram) {
	lastTyped := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		base, labels := splitName(name)
		if base != lastTyped {
			_, _ = fmt.Fprintf(w, "# TYPE %s_us summary\n", base) // Flush returns the error
			lastTyped = base
		}
		h := values[name]
		for _, q := range []struct {
			quantile string
			value    float64
		}{{"0.5", h.P50}, {"0.95", h.P95}, {"0.99", h.P99}} {
			_, _ = fmt.Fprintf(w, "%s_us%s %g\n", base, wrapLabels(joinLabels(labels, `quantile="`+q.quantile+`"`)), q.value)
		}
		_, _ = fmt.Fprintf(w, "%s_us_sum%s %g\n", base, wrapLabels(labels), h.Mean*float64(h.Count))
		_, _ = fmt.Fprintf(w, "%s_us_count%s %d\n", base, wrapLabels(labels), h.Count)
	}
}

// splitName converts a name such as relay.time{class=look} to a base name and labels in the exposition format.
func splitName(name string) (base, labels string) {
	base, rest, _ := strings.Cut(name, "{")
	base = prefix + strings.Map(sanitize, base)
	for _, pair := range strings.Split(strings.TrimSuffix(rest, "}"), ",") {
		key, value, ok := strings.Cut(pair, "=")
		if ok {
			labels = joinLabels(labels, strings.Map(sanitize, key)+`="`+strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(value)+`"`)
		}
	}
	return base, labels
}

// sanitize replaces a character that is not allowed in names by an underscore.
func sanitize(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
		return r
	default:
		return '_'
	}
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func wrapLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

package recap

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"mulleingate.dev/base/logs"
	"mulleingate.dev/bench/report"
)

// Row is what became of a route's calls that ended within one span of time.
type Row struct {
	Route string
	// From is the beginning of the span, after the first line of the logs.
	From time.Duration
	// Answered, Refused and Failed count calls; a refused one has not run.
	Answered, Refused, Failed int
	// Placed, First, Events and Confirm are the sums of the answered turns' times: until they were
	// sent to a replica, from there to the first event, from there to the last, and from there
	// until the log held the answer. Took is the sum for all answered calls.
	Placed, First, Events, Confirm, Took time.Duration
	// Causes counts the refusals and failures by kind.
	Causes map[string]int
}

// Recap is the rows of some logs.
type Recap struct {
	// Every is the length of a span.
	Every time.Duration
	rows  map[string]*Row
	start time.Time
}

// Sum sums the lines up in spans of the length.
func Sum(lines []logs.Line, every time.Duration) *Recap {
	r := &Recap{Every: every, rows: map[string]*Row{}}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	for _, l := range lines {
		if r.start.IsZero() {
			r.start = l.At
		}
		r.take(l)
	}
	return r
}

func (r *Recap) take(l logs.Line) {
	switch l.Text("msg") {
	case "turns: turn answered":
		row := r.row(l)
		placed, first, took, confirm := l.Duration("placed"), l.Duration("first"), l.Duration("took"), l.Duration("confirm")
		row.Answered++
		row.Placed += placed
		row.First += first - placed
		row.Confirm += confirm
		row.Events += took - first - confirm
		row.Took += took
	case "relay: call answered", "relay: answer passed on":
		row := r.row(l)
		row.Answered++
		row.Took += l.Duration("took")
	case "turns: turn failed":
		r.row(l).lost(l.Text("kind"), !l.Bool("ran"))
	case "relay: call failed":
		ran, _ := l.Fields["ran"].(fmt.Stringer)
		r.row(l).lost(l.Text("kind"), ran != nil && ran.String() == "0")
	case "turns: program not begun":
		r.row(l).lost("not begun", true)
	case "entry: owner not reached":
		r.row(l).lost("owner not reached", true)
	case "entry: turn refused, this box is cut off":
		r.row(l).lost("cut off", true)
	}
}

func (w *Row) lost(cause string, refused bool) {
	w.Causes[cause]++
	if refused {
		w.Refused++
		return
	}
	w.Failed++
}

func (r *Recap) row(l logs.Line) *Row {
	from := l.At.Sub(r.start).Truncate(r.Every)
	key := l.Text("route") + " " + from.String()
	row, ok := r.rows[key]
	if !ok {
		row = &Row{Route: l.Text("route"), From: from, Causes: map[string]int{}}
		r.rows[key] = row
	}
	return row
}

// Rows returns the rows by route and time.
func (r *Recap) Rows() []*Row {
	var rows []*Row
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		if a.Route != b.Route {
			return strings.Compare(a.Route, b.Route)
		}
		return int(a.From - b.From)
	})
	return rows
}

// Table is the rows as text; times are means in milliseconds.
func (r *Recap) Table() report.Table {
	table := report.Table{Head: []string{
		"route", "from_s", "answered", "refused", "failed", "placed_ms", "first_ms", "events_ms", "log_ms", "took_ms", "causes",
	}}
	for _, row := range r.Rows() {
		mean := func(sum time.Duration) string {
			return fmt.Sprintf("%.1f", float64(sum.Microseconds())/1000/float64(max(row.Answered, 1)))
		}
		table.Rows = append(table.Rows, []string{
			row.Route, fmt.Sprintf("%.1f", row.From.Seconds()), fmt.Sprint(row.Answered), fmt.Sprint(row.Refused), fmt.Sprint(row.Failed),
			mean(row.Placed), mean(row.First), mean(row.Events), mean(row.Confirm), mean(row.Took), row.causes(),
		})
	}
	return table
}

// causes names the causes, the most frequent first.
func (w *Row) causes() string {
	names := make([]string, 0, len(w.Causes))
	for name := range w.Causes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if w.Causes[names[i]] != w.Causes[names[j]] {
			return w.Causes[names[i]] > w.Causes[names[j]]
		}
		return names[i] < names[j]
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, w.Causes[name])
	}
	return strings.Join(names, ", ")
}

// Lines are the calls of the busiest routes, so many at most, by time, for a plot: those that were
// answered, and those that were refused or failed, if any.
func (r *Recap) Lines(routes int) []report.Series {
	var all []report.Series
	for _, route := range r.busiest(routes) {
		answered, lost := report.Series{Name: route + " answered"}, report.Series{Name: route + " refused or failed"}
		any := false
		for _, row := range r.Rows() {
			if row.Route != route {
				continue
			}
			at, n := row.From.Seconds(), row.Refused+row.Failed
			answered.X, answered.Y = append(answered.X, at), append(answered.Y, float64(row.Answered))
			lost.X, lost.Y = append(lost.X, at), append(lost.Y, float64(n))
			any = any || n > 0
		}
		all = append(all, answered)
		if any {
			all = append(all, lost)
		}
	}
	return all
}

// busiest names the routes with most calls, the busiest first.
func (r *Recap) busiest(most int) []string {
	calls := map[string]int{}
	for _, row := range r.rows {
		calls[row.Route] += row.Answered + row.Refused + row.Failed
	}
	names := make([]string, 0, len(calls))
	for name := range calls {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if calls[names[i]] != calls[names[j]] {
			return calls[names[i]] > calls[names[j]]
		}
		return names[i] < names[j]
	})
	return names[:min(most, len(names))]
}

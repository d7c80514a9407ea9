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

// Row summarizes the calls of one route that ended within one interval.
type Row struct {
	Route string
	// From is the start of the interval, counted from the first line of the logs.
	From time.Duration
	// Answered, Refused and Failed count calls. A refused one has not run, a failed one may have.
	Answered, Refused, Failed int
	// PlacementTime, FirstEventTime, StreamTime and ConfirmTime are sums over the answered turns of consecutive times: from
	// arrival until sent to a replica, to the first event, to the last event, and until confirmed
	// by the log. TotalTime is the sum of the total times of all answered calls.
	PlacementTime, FirstEventTime, StreamTime, ConfirmTime, TotalTime time.Duration
	// Causes counts the refused and failed calls by kind of fault or other cause.
	Causes map[string]int
}

// Recap holds the rows of some logs, one for each route and interval that had calls.
type Recap struct {
	// Interval is the length of an interval.
	Interval time.Duration
	rows     map[string]*Row
	start    time.Time
}

// Summarize summarizes the lines in intervals of the given length. It sorts lines by time in place.
func Summarize(lines []logs.Line, every time.Duration) *Recap {
	r := &Recap{Interval: every, rows: map[string]*Row{}}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	for _, l := range lines {
		if r.start.IsZero() {
			r.start = l.At
		}
		r.addLine(l)
	}
	return r
}

func (r *Recap) addLine(l logs.Line) {
	switch l.Text("msg") {
	case "turns: turn answered":
		row := r.rowOf(l)
		placed, first, took, confirm := l.Duration("placed"), l.Duration("first"), l.Duration("took"), l.Duration("confirm")
		row.Answered++
		row.PlacementTime += placed
		row.FirstEventTime += first - placed
		row.ConfirmTime += confirm
		row.StreamTime += took - first - confirm
		row.TotalTime += took
	case "relay: call answered", "relay: answer passed on":
		row := r.rowOf(l)
		row.Answered++
		row.TotalTime += l.Duration("took")
	case "turns: turn failed":
		r.rowOf(l).countFailure(l.Text("kind"), !l.Bool("ran"))
	case "relay: call failed":
		ran, _ := l.Fields["ran"].(fmt.Stringer)
		r.rowOf(l).countFailure(l.Text("kind"), ran != nil && ran.String() == "0")
	case "turns: program not begun":
		r.rowOf(l).countFailure("not begun", true)
	case "entry: owner not reached":
		r.rowOf(l).countFailure("owner not reached", true)
	case "entry: turn refused, this box is cut off":
		r.rowOf(l).countFailure("cut off", true)
	}
}

func (r *Row) countFailure(cause string, refused bool) {
	r.Causes[cause]++
	if refused {
		r.Refused++
		return
	}
	r.Failed++
}

func (r *Recap) rowOf(l logs.Line) *Row {
	from := l.At.Sub(r.start).Truncate(r.Interval)
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

// Table returns the rows as text, with mean times in milliseconds.
func (r *Recap) Table() report.Table {
	table := report.Table{Header: []string{
		"route", "from_s", "answered", "refused", "failed", "placed_ms", "first_ms", "events_ms", "log_ms", "took_ms", "causes",
	}}
	for _, row := range r.Rows() {
		mean := func(sum time.Duration) string {
			return fmt.Sprintf("%.1f", float64(sum.Microseconds())/1000/float64(max(row.Answered, 1)))
		}
		table.Rows = append(table.Rows, []string{
			row.Route, fmt.Sprintf("%.1f", row.From.Seconds()), fmt.Sprint(row.Answered), fmt.Sprint(row.Refused), fmt.Sprint(row.Failed),
			mean(row.PlacementTime), mean(row.FirstEventTime), mean(row.StreamTime), mean(row.ConfirmTime), mean(row.TotalTime), row.causes(),
		})
	}
	return table
}

// causes lists the causes with their counts, the most frequent first.
func (r *Row) causes() string {
	names := make([]string, 0, len(r.Causes))
	for name := range r.Causes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if r.Causes[names[i]] != r.Causes[names[j]] {
			return r.Causes[names[i]] > r.Causes[names[j]]
		}
		return names[i] < names[j]
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, r.Causes[name])
	}
	return strings.Join(names, ", ")
}

// Series returns series of calls over time for a plot, for at most the given number of the busiest
// routes: the answered calls, and the refused or failed ones if there are any.
func (r *Recap) Series(routes int) []report.Series {
	var all []report.Series
	for _, route := range r.busiest(routes) {
		answered, failed := report.Series{Name: route + " answered"}, report.Series{Name: route + " refused or failed"}
		hasFailures := false
		for _, row := range r.Rows() {
			if row.Route != route {
				continue
			}
			at, n := row.From.Seconds(), row.Refused+row.Failed
			answered.X, answered.Y = append(answered.X, at), append(answered.Y, float64(row.Answered))
			failed.X, failed.Y = append(failed.X, at), append(failed.Y, float64(n))
			hasFailures = hasFailures || n > 0
		}
		all = append(all, answered)
		if hasFailures {
			all = append(all, failed)
		}
	}
	return all
}

// busiest returns the names of at most the given number of routes, those with the most calls first.
func (r *Recap) busiest(limit int) []string {
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
	return names[:min(limit, len(names))]
}

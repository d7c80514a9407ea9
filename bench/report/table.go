package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"mulleingate.dev/base/fault"
)

// Table is a header and rows of text cells.
type Table struct {
	Header []string
	Rows   [][]string
}

// Markdown writes the table as Markdown. Errors of the writer are ignored.
func (t Table) Markdown(out io.Writer) {
	_, _ = fmt.Fprintln(out, "| "+strings.Join(t.Header, " | ")+" |")
	_, _ = fmt.Fprintln(out, "|"+strings.Repeat("---|", len(t.Header)))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(out, "| "+strings.Join(row, " | ")+" |")
	}
}

// CSV writes the table as CSV to a file at path, replacing an existing one.
func (t Table) CSV(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Fail(fault.Internal, "cannot create the CSV file").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	w := csv.NewWriter(file)
	if err := w.WriteAll(append([][]string{t.Header}, t.Rows...)); err != nil {
		return fault.Fail(fault.Internal, "cannot write the CSV file").WithCause(err)
	}
	return nil
}

// Series is one line of a plot. X and Y have the same length.
type Series struct {
	Name string
	X, Y []float64
}

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the series as lines to a file at path, whose extension (.svg, .png) gives the format.
// The arguments x and y are the labels of the axes.
func Plot(path, title, x, y string, all []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	args := make([]any, 0, 2*len(all))
	for _, s := range all {
		points := make(plotter.XYs, len(s.X))
		for i := range s.X {
			points[i].X, points[i].Y = s.X[i], s.Y[i]
		}
		args = append(args, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fault.Fail(fault.Internal, "cannot draw the plot").WithCause(err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fault.Fail(fault.Internal, "cannot write the plot file").WithCause(err)
	}
	return nil
}

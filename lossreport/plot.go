package lossreport

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	// mostPlotted is how many causes get a line of their own: more can't be told apart.
	mostPlotted = 5
)

// Plot draws lost requests over time, a line for each of the most frequent causes. The
// file's ending chooses its format.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "requests that weren't served"
	p.X.Label.Text = "seconds from the first line"
	p.Y.Label.Text = "requests in " + r.IntervalLength.String()
	p.Legend.Top = true
	causes := r.Causes()
	var lines []any
	for _, c := range causes[:min(mostPlotted, len(causes))] {
		lines = append(lines, string(c), r.points(c))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

func (r *Report) points(c Cause) plotter.XYs {
	var points plotter.XYs
	for _, i := range r.Intervals {
		points = append(points, plotter.XY{X: i.Start.Sub(r.Intervals[0].Start).Seconds(), Y: float64(i.Requests[c])})
	}
	return points
}

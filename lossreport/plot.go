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
	// maxPlottedCauses is how many causes get their own line; more could not be told apart.
	maxPlottedCauses = 5
)

// Plot draws lost requests over time, with a line for each of the most frequent causes. The file
// extension selects the format.
func (r *Report) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text = "requests not served"
	chart.X.Label.Text = "seconds since the first interval"
	chart.Y.Label.Text = "requests per " + r.IntervalLength.String()
	chart.Legend.Top = true
	causes := r.Causes()
	var lines []any
	for _, c := range causes[:min(maxPlottedCauses, len(causes))] {
		lines = append(lines, string(c), r.points(c))
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(chart.Save(plotWidth, plotHeight, path))
}

func (r *Report) points(c Cause) plotter.XYs {
	var points plotter.XYs
	for _, i := range r.Intervals {
		points = append(points, plotter.XY{X: i.Start.Sub(r.Intervals[0].Start).Seconds(), Y: float64(i.Requests[c])})
	}
	return points
}

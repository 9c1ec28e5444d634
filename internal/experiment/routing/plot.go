package routing

import (
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotLoads lists the plotted scenarios with their load in percent of the capacity.
var plotLoads = []struct {
	scenario string
	percent  float64
}{{"load 50%", 50}, {"load 80%", 80}, {"load 100%", 100}, {"load 130%", 130}}

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plot draws the p95 time to first token and the goodput over load.
func (r Report) plot(dir string) error {
	err := r.draw(filepath.Join(dir, "first-token.svg"), "p95 first token of admitted requests", "ms", true,
		func(x Result) float64 { return x.FirstP95 })
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.draw(filepath.Join(dir, "goodput.svg"), "goodput within deadlines", "requests/s", false,
		func(x Result) float64 { return x.Goodput }))
}

func (r Report) draw(path, title, unit string, logarithmic bool, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, % of capacity"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Legend.Left = true
	if logarithmic {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	var lines []any
	for _, policy := range Policies() {
		if strings.HasSuffix(policy.Name, " + admission") {
			continue
		}
		points := plotter.XYs{}
		for _, l := range plotLoads {
			points = append(points, plotter.XY{X: l.percent, Y: max(value(r.result(l.scenario, policy.Name)), 1)})
		}
		lines = append(lines, policy.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

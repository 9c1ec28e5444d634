package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/lossreport"
)

type lostCmd struct {
	Every time.Duration `help:"Length of an interval." default:"2s"`
	Worst int           `help:"How many of the worst intervals to name." default:"3"`
	Plot  string        `help:"File for a plot; its ending (svg, png, pdf) chooses the format." type:"path"`
	Files []string      `arg:"" optional:"" help:"Log files of any number of nodes; standard input without any." type:"existingfile"`
}

// Run prints what callers lost, by interval and cause.
func (c *lostCmd) Run() error {
	if c.Every <= 0 {
		return errors.New("--every must be longer than nothing")
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return errors.Trace(err)
	}
	report := lossreport.New(lines, c.Every)
	if err := report.WriteTable(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	for _, i := range report.Worst(c.Worst) {
		fmt.Printf("worst: %s, %.2f served, %d lost\n", i.Start.UTC().Format(time.TimeOnly), i.ServedFraction(), i.Lost())
	}
	if c.Plot == "" || len(report.Intervals) == 0 {
		return nil
	}
	return errors.Trace(report.Plot(c.Plot))
}

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
	Worst int           `help:"Number of worst intervals to print." default:"3"`
	Plot  string        `help:"File for a plot; its extension (svg, png, pdf) selects the format." type:"path"`
	Files []string      `arg:"" optional:"" help:"Log files of any number of nodes; standard input if none are given." type:"existingfile"`
}

// Run prints the requests that callers lost, by interval and cause.
func (c *lostCmd) Run() error {
	if c.Every <= 0 {
		return errors.New("--every must be positive")
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return errors.Trace(err)
	}
	report := lossreport.New(lines, c.Every)
	if err := report.WriteTable(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	for _, interval := range report.Worst(c.Worst) {
		fmt.Printf("worst: %s, %.2f served, %d lost\n", interval.Start.UTC().Format(time.TimeOnly), interval.ServedFraction(), interval.Lost())
	}
	if c.Plot == "" || len(report.Intervals) == 0 {
		return nil
	}
	return errors.Trace(report.Plot(c.Plot))
}

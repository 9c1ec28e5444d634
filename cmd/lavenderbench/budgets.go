package main

import (
	"os"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/budgets"
)

type budgetsCmd struct {
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Duration time.Duration `help:"Simulated time." default:"6h"`
	Rate     float64       `help:"Requests per second over the whole fleet." default:"10"`
}

// Run writes the table to standard output.
func (c *budgetsCmd) Run() error {
	return errors.Trace(budgets.WriteMarkdown(os.Stdout, budgets.Compare(c.Seed, c.Duration, c.Rate)))
}

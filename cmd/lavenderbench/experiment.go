package main

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/routing"
)

type experimentCmd struct {
	Routing routingCmd `cmd:"" help:"Compare upstream selection and admission with baselines."`
	Budgets budgetsCmd `cmd:"" help:"Compare ways of holding prepaid budgets with baselines."`

	Appends appendsCmd `cmd:"" help:"Measure appends per second and the wait of claims, with and without gathering per data centre, in virtual time."`

	Fleet fleetCmd `cmd:"" help:"Measure what a fleet costs without callers, or how fast changes propagate."`
}

type routingCmd struct {
	Seed  uint64 `help:"Seed of arrivals, engines and upstream selection." default:"1"`
	Seeds int    `help:"Number of seeds to run and pool." default:"3"`
	Out   string `help:"Directory for the report." type:"path" required:""`
}

// Run writes the report.
func (c *routingCmd) Run() error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Trace(err)
	}
	report := routing.NewReport(c.Seed, c.Seeds)
	table, err := os.Create(filepath.Join(c.Out, "routing.md"))
	if err != nil {
		return errors.Trace(err)
	}
	if err := report.WriteMarkdown(table); err != nil {
		return errors.Trace(err)
	}
	if err := table.Close(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(report.WriteFiles(c.Out))
}

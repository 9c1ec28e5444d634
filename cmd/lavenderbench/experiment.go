package main

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/routing"
)

type experimentCmd struct {
	Routing routingCmd `cmd:"" help:"Upstream choice and admission, side by side with baselines."`
	Budgets budgetsCmd `cmd:"" help:"Ways of holding prepaid budgets, side by side with baselines."`

	Appends appendsCmd `cmd:"" help:"Appends a second and what claims wait, gathered by data centre or not, in virtual time."`

	Fleet fleetCmd `cmd:"" help:"What a fleet costs without callers, or how fast changes spread."`
}

type routingCmd struct {
	Seed  uint64 `help:"Seed of arrivals, engines and picks." default:"1"`
	Seeds int    `help:"Seeds that are run and pooled." default:"3"`
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

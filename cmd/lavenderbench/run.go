package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/bench"
)

type runCmd struct {
	Seed      uint64        `help:"Seed of arrivals and prompts." default:"1"`
	Rate      float64       `help:"Requests a second." default:"200"`
	Duration  time.Duration `help:"How long to send." default:"10s"`
	Stream    float64       `help:"Share of streamed completions." default:"0.5"`
	Plain     float64       `help:"Share of plain calls." default:"0.2"`
	Direct    float64       `help:"Share of completions sent straight to an engine, to compare with." default:"0.25"`
	TokenTime time.Duration `help:"Embedded engines' time between two tokens." default:"1ms"`

	Target  []string `help:"HTTP addresses of nodes; a fleet is embedded when none is given."`
	Key     string   `help:"Caller's key, with --target." env:"LAVENDERBENCH_KEY"`
	Model   string   `help:"Model to ask for, with --target."`
	Service string   `help:"Plain service to call, with --target." default:"orders"`

	JSON bool `name:"json" help:"Print one JSON object."`
}

// Run puts the load on and prints the figures.
func (c *runCmd) Run(ctx context.Context) error {
	hlog.SetLevel(hlog.LevelError) // the HTTP library would log every connection
	report, err := bench.Run(ctx, bench.Options{
		Seed: c.Seed, Rate: c.Rate, Duration: c.Duration, StreamShare: c.Stream, PlainShare: c.Plain, DirectShare: c.Direct,
		TokenTime: c.TokenTime, Targets: c.Target, Key: c.Key, Model: c.Model, PlainService: c.Service,
	})
	if err != nil {
		return errors.Trace(err)
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if c.JSON {
		fmt.Println(string(encoded))
		return nil
	}
	return printFigures(encoded)
}

// printFigures prints a flat JSON object as a table.
func printFigures(encoded []byte) error {
	var figures map[string]any
	if err := json.Unmarshal(encoded, &figures); err != nil {
		return errors.Trace(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, name := range sortedNames(figures) {
		fmt.Fprintf(w, "%s\t%v\n", name, figures[name])
	}
	return errors.Trace(w.Flush())
}

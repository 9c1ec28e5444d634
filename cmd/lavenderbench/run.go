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
	Rate      float64       `help:"Requests per second." default:"200"`
	Duration  time.Duration `help:"How long to send requests." default:"10s"`
	Stream    float64       `help:"Fraction of completions that are streamed." default:"0.5"`
	Plain     float64       `help:"Fraction of requests that are plain calls." default:"0.2"`
	Direct    float64       `help:"Fraction of completions sent directly to an engine for comparison." default:"0.25"`
	TokenTime time.Duration `help:"Time between two tokens of the embedded engines." default:"1ms"`

	Target  []string `help:"HTTP addresses of nodes; without any, an embedded fleet is started."`
	Key     string   `help:"Caller's API key, with --target." env:"LAVENDERBENCH_KEY"`
	Model   string   `help:"Model to request, with --target."`
	Service string   `help:"Plain service to call, with --target." default:"orders"`

	JSON bool `name:"json" help:"Print the report as one JSON object."`
}

// Run applies the load and prints the report.
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
	return printTable(encoded)
}

// printTable prints a flat JSON object as a table.
func printTable(encoded []byte) error {
	var values map[string]any
	if err := json.Unmarshal(encoded, &values); err != nil {
		return errors.Trace(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, name := range sortedKeys(values) {
		fmt.Fprintf(w, "%s\t%v\n", name, values[name])
	}
	return errors.Trace(w.Flush())
}

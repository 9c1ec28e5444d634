// Command lavenderbench puts load on a fleet and runs experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Run        runCmd        `cmd:"" help:"Put a seeded open-loop load on a fleet and print what it saw and cost."`
	Capacity   capacityCmd   `cmd:"" help:"Measure what one more of each thing costs a node, and compute larger sizes."`
	Matrix     matrixCmd     `cmd:"" help:"Play every fault at every step in virtual time and judge what callers saw."`
	Soak       soakCmd       `cmd:"" help:"Run nodes as processes, inject faults by a seeded plan and judge what callers and upstreams saw."`
	Experiment experimentCmd `cmd:"" help:"Compare policies over models, in model time."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderbench"),
		kong.Description("Load and experiments for a lavenderpin fleet."),
		kong.ShortUsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

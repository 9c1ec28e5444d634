// Command lavenderbench generates load on a fleet and runs experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Run        runCmd        `cmd:"" help:"Apply a seeded open-loop load to a fleet and print outcomes, latencies and costs."`
	Capacity   capacityCmd   `cmd:"" help:"Measure the marginal costs of a node, such as memory per budget, and extrapolate to larger sizes."`
	Matrix     matrixCmd     `cmd:"" help:"Inject every fault at every step in virtual time and check what callers observed."`
	Soak       soakCmd       `cmd:"" help:"Run nodes as processes, inject faults by a seeded plan and check what callers and upstreams observed."`
	Experiment experimentCmd `cmd:"" help:"Compare policies in simulations, and measure fleets."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderbench"),
		kong.Description("Load generator and experiments for a lavenderpin fleet."),
		kong.ShortUsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

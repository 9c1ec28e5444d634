// Command lavenderedge runs one node of the fleet on the users' platform.
package main

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

type cli struct {
	Config string `help:"Path of the settings file." env:"LAVENDERPIN_CONFIG" required:""`
	Check  bool   `help:"Check the settings and end."`
	// MetricsPort is a port of the instance's own address.
	MetricsPort int `help:"Port that serves the metrics alone, beside the ready address; 0 for none." env:"LAVENDERPIN_METRICS_PORT" default:"0"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderedge"),
		kong.Description("A router node before LLM engines and plain services, paid from prepaid token budgets."),
		kong.ShortUsageOnError())
	// A heap of a few MB may double twice before it is collected: that costs less memory
	// than collecting costs processor time, and the memory limit bounds it.
	debug.SetGCPercent(200)
	k.FatalIfErrorf(run(c))
	os.Exit(0)
}

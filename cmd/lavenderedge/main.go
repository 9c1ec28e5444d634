// Command lavenderedge runs one node of the fleet on the users' platform.
package main

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

type cli struct {
	Config string `help:"Path of the settings file." env:"LAVENDERPIN_CONFIG" required:""`
	Check  bool   `help:"Check the settings and exit."`
	// BlockedParts and LiftPart speak to the store only; the nodes learn of a lifted part from it within seconds.
	BlockedParts bool   `help:"Print the parts of prompts that are blocked since upstreams crashed under them, and exit."`
	LiftPart     string `help:"Have requests with this blocked part of a prompt sent again, and exit." placeholder:"PART"`
	// MetricsPort is bound on the instance's own IP address.
	MetricsPort int `help:"Port that serves only the metrics, in addition to the ready address; 0 disables it." env:"LAVENDERPIN_METRICS_PORT" default:"0"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("lavenderedge"),
		kong.Description("A router node in front of LLM engines and plain services, charging prepaid token budgets."),
		kong.ShortUsageOnError())
	// Let a heap of a few MB triple before it is collected: the extra memory costs less than
	// the processor time of collecting more often, and the memory limit bounds it.
	debug.SetGCPercent(200)
	k.FatalIfErrorf(run(c))
	os.Exit(0)
}

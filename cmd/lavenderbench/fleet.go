package main

import (
	"os"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/fleet"
)

type fleetCmd struct {
	Sizes   []int         `help:"Numbers of nodes." default:"7,50,200"`
	Rest    time.Duration `help:"Time before measuring." default:"15s"`
	Length  time.Duration `help:"Time to measure for." default:"20s"`
	Changes int           `help:"Changes made at each size; 0 for none." default:"0"`
	Pause   time.Duration `help:"Time between two changes." default:"50ms"`
	Leaving int           `help:"Upstreams that leave, by the list and by operators each; 0 for none." default:"0"`
	Delay   time.Duration `help:"One-way delay between the two regions, for datagrams and the log." default:"0s"`
}

// Run prints the tables.
func (c *fleetCmd) Run() error {
	var costs []fleet.Cost
	var spreads []fleet.Propagation
	for _, size := range c.Sizes {
		if c.Leaving > 0 {
			leaving, err := fleet.MeasureLeavingLatency(size, c.Leaving)
			if err != nil {
				return errors.Trace(err)
			}
			if err := fleet.WriteLeavingLatency(os.Stdout, leaving); err != nil {
				return errors.Trace(err)
			}
			continue
		}
		if c.Changes > 0 {
			spread, err := fleet.MeasurePropagation(size, c.Changes, c.Delay, c.Pause)
			if err != nil {
				return errors.Trace(err)
			}
			spreads = append(spreads, spread)
			continue
		}
		cost, err := fleet.MeasureCost(size, c.Delay, c.Rest, c.Length)
		if err != nil {
			return errors.Trace(err)
		}
		costs = append(costs, cost)
	}
	if c.Changes > 0 {
		return errors.Trace(fleet.WritePropagation(os.Stdout, spreads))
	}
	if len(costs) == 0 {
		return nil
	}
	return errors.Trace(fleet.WriteCosts(os.Stdout, costs))
}

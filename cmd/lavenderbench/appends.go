package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/appends"
)

type appendsCmd struct {
	Seed        uint64  `help:"Seed of the nodes' random event times." default:"1"`
	Nodes       []int   `help:"Fleet sizes in nodes." default:"7,50,200,380"`
	DataCentres []int   `name:"data-centres" help:"Number of data centres for each fleet size." default:"3,4,8,16"`
	Settlements float64 `help:"Settlements per second and node." default:"22.6"`
	Claims      float64 `help:"Claims per second and node." default:"0.5"`
}

// Run measures in virtual time, prints the table and exits the process.
func (c *appendsCmd) Run() error {
	if len(c.Nodes) != len(c.DataCentres) {
		return errors.New("--nodes and --data-centres must have the same number of values")
	}
	rows := make([]appends.Row, 2*len(c.Nodes))
	var runs []func()
	for i := range rows {
		options := appends.DefaultOptions()
		options.Seed, options.SettlementsPerSecond, options.ClaimsPerSecond = c.Seed, c.Settlements, c.Claims
		options.Nodes, options.DataCentres, options.Gathered = c.Nodes[i/2], c.DataCentres[i/2], i%2 == 1
		runs = append(runs, func() { rows[i] = appends.Run(options) })
	}
	runInBubbles(runs, func() int {
		if err := appends.WriteMarkdown(os.Stdout, rows); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	})
	return nil
}

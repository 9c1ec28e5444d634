package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/experiment/appends"
)

type appendsCmd struct {
	Seed        uint64  `help:"Seed of the nodes' moments." default:"1"`
	Nodes       []int   `help:"Numbers of nodes." default:"7,50,200,380"`
	DataCentres []int   `name:"data-centres" help:"Data centres of each size." default:"3,4,8,16"`
	Settlements float64 `help:"Settlements of a node in a second." default:"22.6"`
	Claims      float64 `help:"Claims of a node in a second." default:"0.5"`
}

// Run prints the table. It runs in virtual time and ends the process.
func (c *appendsCmd) Run() error {
	if len(c.Nodes) != len(c.DataCentres) {
		return errors.New("--nodes and --data-centres differ in length")
	}
	rows := make([]appends.Row, 2*len(c.Nodes))
	var runs []func()
	for i := range rows {
		options := appends.DefaultOptions()
		options.Seed, options.SettlementsPerSecond, options.ClaimsPerSecond = c.Seed, c.Settlements, c.Claims
		options.Nodes, options.DataCentres, options.Gathered = c.Nodes[i/2], c.DataCentres[i/2], i%2 == 1
		runs = append(runs, func() { rows[i] = appends.Run(options) })
	}
	inBubbles(runs, func() int {
		if err := appends.WriteMarkdown(os.Stdout, rows); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	})
	return nil
}

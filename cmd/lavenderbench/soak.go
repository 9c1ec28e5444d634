package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/soak"
)

type soakCmd struct {
	Program string        `help:"Path of the node's program, as 'go build ./cmd/lavenderedge' leaves it." default:"./lavenderedge" type:"existingfile"`
	Seeds   int           `help:"How many seeds to play." default:"1"`
	Seed    uint64        `help:"The first seed." default:"1"`
	Nodes   int           `help:"Nodes of the fleet." default:"5"`
	Length  time.Duration `help:"How long faults are injected for each seed." default:"12s"`
	Jobs    int           `help:"Seeds played at once." default:"2"`
	Logs    string        `help:"Folder for settings and logs of seeds that failed." default:"soak-logs"`
}

// Run plays the seeds and fails if a promise was broken.
func (c *soakCmd) Run(ctx context.Context) error {
	results := make(chan bool, c.Seeds)
	turns := make(chan struct{}, max(1, c.Jobs))
	for i := range c.Seeds {
		go func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			results <- c.play(ctx, c.Seed+uint64(i))
		}()
	}
	failed := 0
	for range c.Seeds {
		if !<-results {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", c.Seeds, failed)
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, c.Seeds)
	}
	return nil
}

// play plays one seed and keeps its logs if it fails.
func (c *soakCmd) play(ctx context.Context, seed uint64) bool {
	dir := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		fmt.Println("seed", seed, err)
		return false
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		fmt.Println("seed", seed, err)
		return false
	}
	report, err := soak.Run(ctx, soak.Options{Program: program, Dir: dir, Seed: seed, Nodes: c.Nodes, Length: c.Length})
	if err != nil {
		fmt.Println("seed", seed, "was not played to its end:", err)
		return false
	}
	fmt.Printf("seed %d: %d steps, calls", seed, len(report.Plan))
	for _, status := range report.Statuses() {
		fmt.Printf(" %d:%d", status, report.Calls[status])
	}
	fmt.Println(", broken", report.BrokenGuarantees())
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(dir) // logs of a good run are of no use
		return true
	}
	for _, step := range report.Plan {
		fmt.Println("   ", step)
	}
	for _, v := range report.Violations[:min(len(report.Violations), 10)] {
		fmt.Println("  !", v)
	}
	fmt.Printf("  again: lavenderbench soak --seed %d --nodes %d --length %s; logs in %s\n", seed, c.Nodes, c.Length, dir)
	return false
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/check"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

type matrixCmd struct {
	Pairs   bool   `help:"Play pairs of faults, drawn from the seeds, in place of single ones."`
	ReadOn  bool   `help:"Let callers whose node died read on at another one; for pairs at any step."`
	AnyStep bool   `help:"Draw the steps of pairs from all, whether the history of the seed reaches them or not."`
	Seeds   int    `help:"How many seeds: pairs to play, or how often to play each single fault." default:"1"`
	Seed    uint64 `help:"First seed." default:"1"`
	Fault   string `help:"Only this fault."`
	Step    string `help:"Only at this step."`
	JSON    bool   `name:"json" help:"Print the cells as JSON."`
}

// play is one cell that is played within a bubble.
type play struct {
	cell   check.Cell
	record *check.Record
	reach  check.Coverage
}

// Run plays the cells in virtual time. It ends the process.
func (c *matrixCmd) Run() error {
	plays, runs, err := c.prepare()
	if err != nil {
		return err
	}
	inBubbles(runs, func() int {
		var results []check.CellResult
		for _, p := range plays {
			results = append(results, check.Evaluate(p.cell, p.record, p.reach))
		}
		return c.print(results)
	})
	return nil
}

// prepare returns the plays and the functions that fill them in.
func (c *matrixCmd) prepare() ([]*play, []func(), error) {
	if c.Pairs && !c.AnyStep {
		plays, runs := c.reachedPairs()
		return plays, runs, nil
	}
	cells, err := c.cells()
	var plays []*play
	var runs []func()
	for _, cell := range cells {
		p := &play{cell: cell}
		plays = append(plays, p)
		runs = append(runs, func() { p.record, p.reach = check.RunCell(fake.NewClock(), p.cell) })
	}
	return plays, runs, err
}

// reachedPairs draws each pair within its own bubble, where its history is played once
// without faults.
func (c *matrixCmd) reachedPairs() (plays []*play, runs []func()) {
	for i := range c.Seeds {
		p := &play{}
		plays = append(plays, p)
		runs = append(runs, func() {
			p.cell, p.record, p.reach = check.RunReachedPair(fake.NewClock(), check.DefaultTiming(), c.Seed+uint64(i))
		})
	}
	return plays, runs
}

func (c *matrixCmd) cells() ([]check.Cell, error) {
	if c.Pairs {
		cells := check.Pairs(check.DefaultTiming(), c.Seed, c.Seeds)
		for i := range cells {
			cells[i].ResumeStreams = c.ReadOn
		}
		return cells, nil
	}
	var cells []check.Cell
	for i := range c.Seeds {
		for _, cell := range check.Singles(check.DefaultTiming(), c.Seed+uint64(i)) {
			strike := cell.Injections[0]
			if (c.Fault == "" || c.Fault == strike.Fault.Name) && (c.Step == "" || c.Step == string(strike.Step)) {
				cells = append(cells, cell)
			}
		}
	}
	if len(cells) == 0 {
		return nil, errors.NotFoundf("fault %q at step %q", c.Fault, c.Step)
	}
	return cells, nil
}

// print returns the exit code: 1 when a cell is broken.
func (c *matrixCmd) print(results []check.CellResult) int {
	broken := 0
	for _, r := range results {
		if r.Status == check.Broken {
			broken++
		}
	}
	switch {
	case c.JSON:
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(results)
	case c.Pairs:
		printList(results)
	default:
		printTable(results)
	}
	if !c.JSON {
		printBroken(results)
		printCount(results)
	}
	return min(broken, 1)
}

func printList(results []check.CellResult) {
	for _, r := range results {
		fmt.Printf("%-9s seed %d: %s at %s + %s at %s\n", r.Status, r.Seed, r.Faults[0], r.Steps[0], r.Faults[1], r.Steps[1])
	}
}

// printTable prints faults down and steps across; the worst of several seeds counts.
func printTable(results []check.CellResult) {
	worst := map[[2]string]check.Status{}
	var faults, steps []string
	for _, r := range results {
		faults, steps = appendNew(faults, r.Faults[0]), appendNew(steps, r.Steps[0])
		key := [2]string{r.Faults[0], r.Steps[0]}
		if worst[key] == "" || r.Status == check.Broken || worst[key] == check.NotBuilt {
			worst[key] = r.Status
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "FAULT")
	for _, step := range steps {
		fmt.Fprint(w, "\t", step)
	}
	fmt.Fprintln(w)
	for _, fault := range faults {
		fmt.Fprint(w, fault)
		for _, step := range steps {
			fmt.Fprint(w, "\t", worst[[2]string{fault, step}])
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

func appendNew(names []string, name string) []string {
	for _, held := range names {
		if held == name {
			return names
		}
	}
	return append(names, name)
}

func printBroken(results []check.CellResult) {
	for _, r := range results {
		if r.Status != check.Broken {
			continue
		}
		fmt.Printf("\n%s\n", r.Command)
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		for _, e := range r.Timeline {
			fmt.Printf("    %s %s %d %s %v\n", e.Timestamp.Time().Format("15:04:05.000"), e.Node, e.Number, e.Number.Kind().Name, e.Fields)
		}
	}
}

func printCount(results []check.CellResult) {
	count := map[check.Status]int{}
	for _, r := range results {
		count[r.Status]++
	}
	fmt.Printf("\n%d held, %d broken, %d not built\n", count[check.Held], count[check.Broken], count[check.NotBuilt])
}

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
	Pairs   bool   `help:"Inject pairs of faults drawn from the seeds instead of single faults."`
	ReadOn  bool   `help:"Let callers whose node died resume their streams at another node; only for pairs at any step."`
	AnyStep bool   `help:"Draw the steps of pairs from all steps, whether or not the seed's history reaches them."`
	Seeds   int    `help:"Number of seeds: the number of pairs, or of runs of each single fault." default:"1"`
	Seed    uint64 `help:"First seed." default:"1"`
	Fault   string `help:"Run only this fault."`
	Step    string `help:"Inject faults only at this step."`
	JSON    bool   `name:"json" help:"Print the results as JSON."`
}

// cellRun is a cell of the matrix and the record of its run in a bubble.
type cellRun struct {
	cell   check.Cell
	record *check.Record
	reach  check.Coverage
}

// Run runs the cells in virtual time, prints the results and exits the process.
func (c *matrixCmd) Run() error {
	cellRuns, runs, err := c.prepare()
	if err != nil {
		return err
	}
	runInBubbles(runs, func() int {
		var results []check.CellResult
		for _, r := range cellRuns {
			results = append(results, check.Evaluate(r.cell, r.record, r.reach))
		}
		return c.print(results)
	})
	return nil
}

// prepare returns the runs, still empty, and the functions that fill them in.
func (c *matrixCmd) prepare() ([]*cellRun, []func(), error) {
	if c.Pairs && !c.AnyStep {
		cellRuns, runs := c.prepareReachedPairs()
		return cellRuns, runs, nil
	}
	cells, err := c.selectCells()
	var cellRuns []*cellRun
	var runs []func()
	for _, cell := range cells {
		r := &cellRun{cell: cell}
		cellRuns = append(cellRuns, r)
		runs = append(runs, func() { r.record, r.reach = check.RunCell(fake.NewClock(), r.cell) })
	}
	return cellRuns, runs, err
}

// prepareReachedPairs draws each pair in its own bubble, where the seed's history first runs
// once without faults to find the steps that it reaches.
func (c *matrixCmd) prepareReachedPairs() (cellRuns []*cellRun, runs []func()) {
	for i := range c.Seeds {
		r := &cellRun{}
		cellRuns = append(cellRuns, r)
		runs = append(runs, func() {
			r.cell, r.record, r.reach = check.RunReachedPair(fake.NewClock(), check.DefaultTiming(), c.Seed+uint64(i))
		})
	}
	return cellRuns, runs
}

func (c *matrixCmd) selectCells() ([]check.Cell, error) {
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
			injection := cell.Injections[0]
			if (c.Fault == "" || c.Fault == injection.Fault.Name) && (c.Step == "" || c.Step == string(injection.Step)) {
				cells = append(cells, cell)
			}
		}
	}
	if len(cells) == 0 {
		return nil, errors.NotFoundf("fault %q at step %q", c.Fault, c.Step)
	}
	return cells, nil
}

// print prints the results and returns the exit code: 1 if any cell is broken.
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
		printPairs(results)
	default:
		printMatrix(results)
	}
	if !c.JSON {
		printBroken(results)
		printSummary(results)
	}
	return min(broken, 1)
}

func printPairs(results []check.CellResult) {
	for _, r := range results {
		fmt.Printf("%-9s seed %d: %s at %s + %s at %s\n", r.Status, r.Seed, r.Faults[0], r.Steps[0], r.Faults[1], r.Steps[1])
	}
}

// printMatrix prints a row per fault and a column per step, with the worst result of all seeds.
func printMatrix(results []check.CellResult) {
	worst := map[[2]string]check.Status{}
	var faults, steps []string
	for _, r := range results {
		faults, steps = appendUnique(faults, r.Faults[0]), appendUnique(steps, r.Steps[0])
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

func appendUnique(names []string, name string) []string {
	for _, existing := range names {
		if existing == name {
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

func printSummary(results []check.CellResult) {
	counts := map[check.Status]int{}
	for _, r := range results {
		counts[r.Status]++
	}
	fmt.Printf("\n%d held, %d broken, %d not built\n", counts[check.Held], counts[check.Broken], counts[check.NotBuilt])
}

package routing

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Report holds the results of the whole experiment.
type Report struct {
	Seed  uint64 `json:"seed"`
	Seeds int    `json:"seeds"`
	// Capacity is the result of the function Capacity, in requests per second.
	Capacity   float64  `json:"capacity_per_second"`
	Saturation []Result `json:"saturation"`
	Results    []Result `json:"results"`
	// Priorities holds the results of the function Priorities.
	Priorities []Result    `json:"priorities"`
	Criteria   []Criterion `json:"bars"`
}

// NewReport runs all experiments with the given number of consecutive seeds, beginning
// with seed.
func NewReport(seed uint64, seeds int) Report {
	r := Report{Seed: seed, Seeds: seeds}
	r.Capacity, r.Saturation = Capacity(seed, seeds)
	r.Results = runAll(Policies(), Scenarios(seed), r.Capacity, seeds)
	r.Priorities = Priorities(seed, r.Capacity, seeds)
	r.Criteria = checkCriteria(r)
	return r
}

// WriteMarkdown writes the report as Markdown tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	out := &errWriter{w: w}
	out.printf("# Routing experiment, %d seeds from %d on, pooled\n", r.Seeds, r.Seed)
	out.printf("Capacity: %.1f requests/s (the most that any policy completed at saturation). Times are model time, in ms, of admitted requests.\n", r.Capacity)
	out.printf("| Bar | Holds | Measured |\n|---|---|---|")
	for _, c := range r.Criteria {
		out.printf("| %s | %s | %s |", c.Name, yesNo(c.Holds), c.Measured)
	}
	scenario := ""
	for _, x := range append(append([]Result(nil), r.Saturation...), r.Results...) {
		if x.Scenario != scenario {
			scenario = x.Scenario
			out.printf("\n## %s (%.1f requests/s offered)\n", scenario, x.Offered)
			out.printf("| Policy | TTFT p50 | p95 | p99 | TBT p50 | p95 | p99 | Goodput/s | Refused %% | Failed %% | Cache hit %% | Jain | Small good %% | Small TTFT p95 | Admission wait p95 | Wasted tokens | Retries %% | Cross MB |")
			out.printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
		}
		out.printf("| %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.0f | %.3f | %.1f | %.0f | %.0f | %d | %.1f | %.1f |",
			x.Policy, x.FirstP50, x.FirstP95, x.FirstP99, x.GapP50, x.GapP95, x.GapP99, x.Goodput, 100*x.Refused, 100*x.Failed,
			100*x.CacheHit, x.Jain, 100*x.SmallGoodShare, x.SmallP95, x.QueueP95, x.WastedTokens, 100*x.Retries, x.CrossMB)
	}
	r.writePriorities(out)
	return out.err
}

// WriteFiles writes the report as JSON and the plots as SVG to dir.
func (r Report) WriteFiles(dir string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "routing.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.plot(dir))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// errWriter writes formatted lines until the first error, which it keeps.
type errWriter struct {
	w   io.Writer
	err error
}

func (e *errWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format+"\n", args...)
	}
}

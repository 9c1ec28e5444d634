package routing

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Report is one whole experiment.
type Report struct {
	Seed  uint64 `json:"seed"`
	Seeds int    `json:"seeds"`
	// Capacity in requests per second; see the function Capacity.
	Capacity   float64  `json:"capacity_per_second"`
	Saturation []Result `json:"saturation"`
	Results    []Result `json:"results"`
	// Priorities compares telling engines of priorities with not telling them.
	Priorities []Result    `json:"priorities"`
	Criteria   []Criterion `json:"bars"`
}

// NewReport runs everything, with so many seeds from the one given on.
func NewReport(seed uint64, seeds int) Report {
	r := Report{Seed: seed, Seeds: seeds}
	r.Capacity, r.Saturation = Capacity(seed, seeds)
	r.Results = all(Policies(), Scenarios(seed), r.Capacity, seeds)
	r.Priorities = Priorities(seed, r.Capacity, seeds)
	r.Criteria = judge(r)
	return r
}

// WriteMarkdown writes the tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	p := &printer{w: w}
	p.line("# Routing experiment, %d seeds from %d on, pooled\n", r.Seeds, r.Seed)
	p.line("Capacity: %.1f requests/s (the most that any policy completed at saturation). Times are model time, in ms, of admitted requests.\n", r.Capacity)
	p.line("| Bar | Holds | Measured |\n|---|---|---|")
	for _, b := range r.Criteria {
		p.line("| %s | %s | %s |", b.Name, yesNo(b.Holds), b.Measured)
	}
	scenario := ""
	for _, x := range append(append([]Result(nil), r.Saturation...), r.Results...) {
		if x.Scenario != scenario {
			scenario = x.Scenario
			p.line("\n## %s (%.1f requests/s offered)\n", scenario, x.Offered)
			p.line("| Policy | TTFT p50 | p95 | p99 | TBT p50 | p95 | p99 | Goodput/s | Refused %% | Failed %% | Cache hit %% | Jain | Small good %% | Small TTFT p95 | Admission wait p95 | Wasted tokens | Retries %% | Cross MB |")
			p.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
		}
		p.line("| %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.0f | %.3f | %.1f | %.0f | %.0f | %d | %.1f | %.1f |",
			x.Policy, x.FirstP50, x.FirstP95, x.FirstP99, x.GapP50, x.GapP95, x.GapP99, x.Goodput, 100*x.Refused, 100*x.Failed,
			100*x.CacheHit, x.Jain, 100*x.SmallGoodShare, x.SmallP95, x.QueueP95, x.WastedTokens, 100*x.Retries, x.CrossMB)
	}
	r.writePriorities(p)
	return p.err
}

// WriteFiles writes the results as JSON, and the plots.
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

// printer keeps the first error of a series of writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/bench/capacity"
)

type capacityCmd struct {
	JSON bool `name:"json" help:"Print one JSON object."`
}

// Run measures the slopes and computes the roles at the size of two years.
func (c *capacityCmd) Run() error {
	measured := capacity.Measure(capacity.TwoYearSize(), capacity.FullSamples())
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(measured))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| Measured slope\t| Value\t| How\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|")
	for _, s := range measured.Slopes {
		fmt.Fprintf(w, "| %s\t| %s %s\t| %s\t|\n", s.Name, figure(s.Value), s.Unit, s.How)
	}
	fmt.Fprintln(w, "\n| Role (computed)\t| Core %\t| Memory MB\t| Bytes/s\t| Appends/s, fleet\t| From\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range measured.Roles {
		fmt.Fprintf(w, "| %s\t| %.3f\t| %.2f\t| %.0f\t| %.0f\t| %s\t|\n", r.Name, r.CorePercent, r.MemoryMB, r.BytesASecond, r.AppendsASecond, r.Computed)
	}
	fmt.Fprintln(w, "\n| Mechanism (computed)\t| Uses up\t| At\t| Wanted\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|")
	for _, l := range measured.Limits {
		fmt.Fprintf(w, "| %s\t| %s\t| %.0f %s\t| %.0f\t|\n", l.Mechanism, l.Allowance, l.At, l.Unit, l.Wanted)
	}
	return errors.Trace(w.Flush())
}

// figure prints small values with a decimal.
func figure(value float64) string {
	if value < 10 {
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.0f", value)
}

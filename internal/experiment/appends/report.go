package appends

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Row is the result of one run.
type Row struct {
	Options Options
	// Claims is the number of measured claims; P50, P99 and Max are their latencies from
	// submission to verdict.
	Claims        int64
	P50, P99, Max time.Duration
	// AppendsPerSecond and BytesPerSecond are the rates at the log, for the whole fleet.
	AppendsPerSecond, BytesPerSecond float64
}

// WriteMarkdown writes rows as a Markdown table.
func WriteMarkdown(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| Nodes\t| Data centres\t| Gathered\t| Appends/s\t| Log bytes/s\t| Claims\t| p50 ms\t| p99 ms\t| max ms\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %d\t| %d\t| %t\t| %.1f\t| %.0f\t| %d\t| %.1f\t| %.1f\t| %.1f\t|\n", r.Options.Nodes, r.Options.DataCentres, r.Options.Gathered,
			r.AppendsPerSecond, r.BytesPerSecond, r.Claims, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.Max))
	}
	return errors.Trace(w.Flush())
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

package appends

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Row is what one run gave.
type Row struct {
	Options Options
	// Claims is how many were timed, P50, P99 and Max how long they took from being
	// submitted to their verdict.
	Claims        int64
	P50, P99, Max time.Duration
	// AppendsPerSecond and BytesPerSecond are the whole fleet's, as the log took them.
	AppendsPerSecond, BytesPerSecond float64
}

// WriteMarkdown prints rows as a table in Markdown.
func WriteMarkdown(to io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(to, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| Nodes\t| Data centres\t| Gathered\t| Appends/s\t| Log bytes/s\t| Claims\t| p50 ms\t| p99 ms\t| max ms\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %d\t| %d\t| %t\t| %.1f\t| %.0f\t| %d\t| %.1f\t| %.1f\t| %.1f\t|\n", r.Options.Nodes, r.Options.DataCentres, r.Options.Gathered,
			r.AppendsPerSecond, r.BytesPerSecond, r.Claims, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.Max))
	}
	return errors.Trace(w.Flush())
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

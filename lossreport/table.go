package lossreport

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// WriteTable writes a line for each interval and a column for each cause.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	causes := r.Causes()
	_, _ = fmt.Fprint(t, "from\tserved\tshare") // Flush tells of a failed write
	for _, c := range causes {
		_, _ = fmt.Fprintf(t, "\t%s", c)
	}
	for _, i := range r.Intervals {
		_, _ = fmt.Fprintf(t, "\n%s\t%d\t%.2f", i.Start.UTC().Format(time.TimeOnly), i.Requests[Served], i.ServedFraction())
		for _, c := range causes {
			_, _ = fmt.Fprintf(t, "\t%d", i.Requests[c])
		}
	}
	_, _ = fmt.Fprintln(t)
	return errors.Trace(t.Flush())
}

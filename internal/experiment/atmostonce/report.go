package atmostonce

import (
	"fmt"
	"io"
	"time"
)

// Row is what one way came to in one scene.
type Row struct {
	Strategy Strategy
	Scenario Scenario
	Calls    int
	// Answered calls brought their answer, at the first try or a later one.
	Answered int
	// NotRun calls were refused for good and had not run.
	NotRun int
	// Unknown calls ended without anybody knowing whether they ran.
	Unknown int
	// UnknownRan counts those of them that had run.
	UnknownRan int
	// DoubleRuns counts calls that ran more than once.
	DoubleRuns int
	// FalseNotRun counts calls that were called "not run" and had run.
	FalseNotRun int
	// P50 and P99 of the calls answered at the first try.
	P50, P99 time.Duration
}

// WriteMarkdown writes rows as a table for docs/MEASUREMENTS.md.
func WriteMarkdown(w io.Writer, rows []Row) error {
	_, err := fmt.Fprint(w, "| Scene | Way | Calls | Answered | Not run | Unknown (of them ran) | Ran twice | False \"not run\" | p50 | p99 |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d (%d) | %d | %d | %s | %s |\n", r.Scenario, r.Strategy, r.Calls, r.Answered, r.NotRun,
			r.Unknown, r.UnknownRan, r.DoubleRuns, r.FalseNotRun, r.P50.Round(time.Millisecond/10), r.P99.Round(time.Millisecond/10))
	}
	return err
}

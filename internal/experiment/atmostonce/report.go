package atmostonce

import (
	"fmt"
	"io"
	"time"
)

// Row is the result of one strategy in one scenario.
type Row struct {
	Strategy Strategy
	Scenario Scenario
	Calls    int
	// Answered counts calls that got a response, at the first attempt or a later one.
	Answered int
	// NotRun counts calls that were finally refused as not run.
	NotRun int
	// Unknown counts calls whose caller could not learn whether they ran.
	Unknown int
	// UnknownRan counts the Unknown calls that had run.
	UnknownRan int
	// DoubleRuns counts calls that ran more than once.
	DoubleRuns int
	// FalseNotRun counts the NotRun calls that had run.
	FalseNotRun int
	// P50 and P99 are latency percentiles of the calls answered at the first attempt.
	P50, P99 time.Duration
}

// WriteMarkdown writes rows as a Markdown table for docs/MEASUREMENTS.md.
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

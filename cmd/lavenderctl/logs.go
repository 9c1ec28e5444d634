package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
)

// readLogs reads the events out of log files, or out of standard input without any.
func readLogs(files []string) ([]event.LogLine, error) {
	if len(files) == 0 {
		lines, skipped, err := event.ReadLog(os.Stdin)
		noteSkipped("standard input", skipped)
		return lines, errors.Trace(err)
	}
	var all []event.LogLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines, skipped, err := event.ReadLog(file)
		_ = file.Close() // only read
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		noteSkipped(name, skipped)
		all = append(all, lines...)
	}
	return all, nil
}

func noteSkipped(name string, skipped int) {
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no events\n", name, skipped)
	}
}

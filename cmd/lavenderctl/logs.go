package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
)

// readLogs reads the events from log files, or from standard input if none are given.
func readLogs(files []string) ([]event.LogLine, error) {
	if len(files) == 0 {
		lines, skipped, err := event.ReadLog(os.Stdin)
		reportSkipped("standard input", skipped)
		return lines, errors.Trace(err)
	}
	var all []event.LogLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines, skipped, err := event.ReadLog(file)
		_ = file.Close() // opened for reading only
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		reportSkipped(name, skipped)
		all = append(all, lines...)
	}
	return all, nil
}

func reportSkipped(name string, skipped int) {
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not events\n", name, skipped)
	}
}

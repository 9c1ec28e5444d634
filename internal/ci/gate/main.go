// Command gate reads the output of "go test -json" and decides whether CI passes:
// a test may fail only if KNOWN-RED.txt names it, and those entries are printed.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

const maxLineBytes = 16 << 20

func main() {
	known, err := readKnownFailures(knownFailuresFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if !readEvents(os.Stdin).report(os.Stdout, known) {
		os.Exit(1)
	}
}

// readEvents summarizes the events of a test run. It prints lines that aren't JSON events.
func readEvents(r io.Reader) *runSummary {
	summary := newRunSummary()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		summary.addEvent(e)
	}
	return summary
}

// Command gate reads the output of "go test -json" and decides whether CI passes:
// a failing test is allowed only when KNOWN-RED.txt names it, and those are printed.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

const maxLine = 16 << 20

func main() {
	known, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if !read(os.Stdin).judge(os.Stdout, known) {
		os.Exit(1)
	}
}

// read counts the events of a test run. Lines that aren't events are printed.
func read(run io.Reader) *tally {
	t := newTally()
	scanner := bufio.NewScanner(run)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		t.add(e)
	}
	return t
}

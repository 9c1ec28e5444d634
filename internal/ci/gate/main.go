// Command gate reads the output of "go test -json" and decides whether CI passes:
// a failing test is allowed only when KNOWN-RED.txt names it, and those are printed.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
)

const (
	knownRedFile  = "KNOWN-RED.txt"
	knownRedLimit = 3
	maxLine       = 16 << 20
)

// testEvent is one line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// tally is what one run came to.
type tally struct {
	passed, skipped int
	failed          []string
	// failedPackages counts the failed tests of each package that failed; 0 means
	// that it didn't build, panicked or timed out.
	failedPackages map[string]int
}

func main() {
	known, err := readKnownRed()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	t := read()
	if !t.judge(known) {
		os.Exit(1)
	}
}

func readKnownRed() ([]string, error) {
	data, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	if len(lines) > knownRedLimit {
		return nil, fmt.Errorf("%s has %d lines; %d at most", knownRedFile, len(lines), knownRedLimit)
	}
	return lines, nil
}

func read() *tally {
	t := &tally{failedPackages: map[string]int{}}
	output := map[string][]string{}
	scanner := bufio.NewScanner(os.Stdin)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		t.add(e, output)
	}
	return t
}

func (t *tally) add(e testEvent, output map[string][]string) {
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		output[key] = append(output[key], e.Output)
	case "pass":
		if e.Test == "" {
			fmt.Printf("ok   %s\n", e.Package)
		} else {
			t.passed++
		}
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail", "build-fail":
		fmt.Print(strings.Join(output[key], ""))
		if e.Test == "" {
			t.failedPackages[e.Package] += 0
			return
		}
		t.failedPackages[e.Package]++
		t.failed = append(t.failed, e.Test)
	}
}

// judge prints the result and tells whether CI passes.
func (t *tally) judge(known []string) bool {
	ok := true
	sort.Strings(t.failed)
	for _, test := range t.failed {
		if line := findKnown(known, test); line != "" {
			fmt.Printf("KNOWN RED: %s\n", line)
			continue
		}
		fmt.Printf("FAILED: %s\n", test)
		ok = false
	}
	for name, tests := range t.failedPackages {
		if tests == 0 {
			fmt.Printf("FAILED: %s without a failing test (build, panic or time limit)\n", name)
			ok = false
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.passed, len(t.failed), t.skipped)
	return ok && t.passed > 0
}

// findKnown returns the line that names the test or its parent.
func findKnown(known []string, test string) string {
	for _, line := range known {
		for _, word := range strings.Fields(line) {
			if test == word || strings.HasPrefix(test, word+"/") {
				return line
			}
		}
	}
	return ""
}

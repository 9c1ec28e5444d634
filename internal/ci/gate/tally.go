package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// testEvent is one line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testName is a test, or a package where Test is empty.
type testName struct{ Package, Test string }

// tally is what one run came to.
type tally struct {
	passed, skipped int
	failed          []testName
	// failedPackages counts the failed tests of each package that failed; 0 means
	// that it didn't build, panicked or timed out.
	failedPackages map[string]int
	output         map[testName][]string
}

func newTally() *tally {
	return &tally{failedPackages: map[string]int{}, output: map[testName][]string{}}
}

func (t *tally) add(e testEvent) {
	name := testName{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		t.output[name] = append(t.output[name], e.Output)
	case "pass":
		delete(t.output, name)
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
		if e.Test == "" {
			t.failedPackages[e.Package] += 0
			return
		}
		t.failedPackages[e.Package]++
		t.failed = append(t.failed, name)
	}
}

// judge prints the result and tells whether CI passes. Known red tests come first and
// briefly; what must not fail comes last with all that it printed, as the end of a
// long output is what one gets to see.
func (t *tally) judge(w io.Writer, known knownRed) bool {
	var unknown []testName
	red := map[string]int{}
	for _, name := range t.failed {
		if line := known.find(name.Test); line != "" {
			red[line]++
		} else {
			unknown = append(unknown, name)
		}
	}
	for _, line := range known {
		_, _ = fmt.Fprintf(w, "KNOWN RED (%d failed): %s\n", red[line], line)
	}
	broken := t.brokenPackages()
	for _, name := range append(unknown, broken...) {
		_, _ = fmt.Fprint(w, strings.Join(t.output[name], ""))
	}
	for _, name := range unknown {
		_, _ = fmt.Fprintf(w, "FAILED: %s\n", name.Test)
	}
	for _, name := range broken {
		_, _ = fmt.Fprintf(w, "FAILED: %s without a failing test (build, panic or time limit)\n", name.Package)
	}
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", t.passed, len(t.failed), t.skipped)
	return len(unknown)+len(broken) == 0 && t.passed > 0
}

// brokenPackages lists the packages that failed without a failing test.
func (t *tally) brokenPackages() []testName {
	var broken []testName
	for name, tests := range t.failedPackages {
		if tests == 0 {
			broken = append(broken, testName{Package: name})
		}
	}
	sort.Slice(broken, func(i, j int) bool { return broken[i].Package < broken[j].Package })
	return broken
}

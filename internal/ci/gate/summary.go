package main

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// testEvent is one event, that is one line, of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID identifies a test, or a whole package if Test is empty.
type testID struct{ Package, Test string }

// runSummary is the summary of one test run.
type runSummary struct {
	passed, skipped int
	failed          []testID
	// failedPackages counts the failed tests of each failed package; 0 means that the
	// package didn't build, panicked or timed out.
	failedPackages map[string]int
	// exits tells how far the process of each failed package came.
	exits  map[string]processExit
	output map[testID][]string
}

// processExit holds what the end of a failed package's output shows.
type processExit struct {
	// testsEnded means that the process itself printed its result, which it does once all tests have ended.
	testsEnded bool
	// reported means that "go test" printed the package's result.
	reported bool
}

func newRunSummary() *runSummary {
	return &runSummary{failedPackages: map[string]int{}, exits: map[string]processExit{}, output: map[testID][]string{}}
}

func (s *runSummary) addEvent(e testEvent) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		s.output[id] = append(s.output[id], e.Output)
		if e.Test == "" {
			s.addExit(e)
		}
	case "pass":
		delete(s.output, id)
		if e.Test == "" {
			fmt.Printf("ok   %s\n", e.Package)
		} else {
			s.passed++
		}
	case "skip":
		delete(s.output, id)
		if e.Test != "" {
			s.skipped++
		}
	case "fail", "build-fail":
		if e.Test == "" {
			s.failedPackages[e.Package] += 0
			return
		}
		s.failedPackages[e.Package]++
		s.failed = append(s.failed, id)
	}
}

func (s *runSummary) addExit(e testEvent) {
	exit := s.exits[e.Package]
	exit.testsEnded = exit.testsEnded || e.Output == "FAIL\n"
	exit.reported = exit.reported || strings.HasPrefix(e.Output, "FAIL\t")
	s.exits[e.Package] = exit
}

// report prints the result and returns whether CI passes. Known failures come first: the output of
// those that occurred, and one line for each. Unexpected failures come last with their full output, because readers see
// the end of a long log first.
func (s *runSummary) report(w io.Writer, known knownFailures) bool {
	var unexpected []testID
	failedByEntry := map[string]int{}
	for _, id := range s.failed {
		if entry := known.entryFor(id.Test); entry != "" {
			failedByEntry[entry]++
			_, _ = fmt.Fprint(w, strings.Join(s.output[id], "")) // such a failure may be rare, and another than the listed one
		} else {
			unexpected = append(unexpected, id)
		}
	}
	for _, entry := range known {
		_, _ = fmt.Fprintf(w, "KNOWN RED (%d failed): %s\n", failedByEntry[entry], entry)
	}
	broken := s.brokenPackages()
	for _, id := range append(unexpected, broken...) {
		_, _ = fmt.Fprint(w, strings.Join(s.output[id], ""))
	}
	for _, id := range s.unfinished(broken) {
		_, _ = fmt.Fprintf(w, "didn't end: %s\n%s", id.Test, strings.Join(s.output[id], ""))
	}
	for _, id := range unexpected {
		_, _ = fmt.Fprintf(w, "FAILED: %s\n", id.Test)
	}
	for _, name := range broken {
		cause := "without a failing test"
		if s.failedPackages[name.Package] > 0 {
			cause = "ended before its tests"
		}
		_, _ = fmt.Fprintf(w, "FAILED: %s %s (build, panic or time limit)\n", name.Package, cause)
	}
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.passed, len(s.failed), s.skipped)
	return len(unexpected)+len(broken) == 0 && s.passed > 0
}

// brokenPackages returns the packages that failed without a failing test, or whose process ended before their tests, sorted
// by name.
func (s *runSummary) brokenPackages() []testID {
	var broken []testID
	for name, tests := range s.failedPackages {
		if exit := s.exits[name]; tests == 0 || exit.reported && !exit.testsEnded {
			broken = append(broken, testID{Package: name})
		}
	}
	sort.Slice(broken, func(i, j int) bool { return broken[i].Package < broken[j].Package })
	return broken
}

// unfinished returns the tests that were running when the processes of broken packages died: the
// cause stands in their output.
func (s *runSummary) unfinished(broken []testID) []testID {
	var running []testID
	for id := range s.output {
		if id.Test != "" && !slices.Contains(s.failed, id) && slices.Contains(broken, testID{Package: id.Package}) {
			running = append(running, id)
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].Test < running[j].Test })
	return running
}

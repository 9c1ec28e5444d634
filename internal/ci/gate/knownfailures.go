package main

import (
	"fmt"
	"os"
	"strings"
)

const (
	knownFailuresFile = "KNOWN-RED.txt"
	// maxKnownFailures is the maximum number of tests that may fail.
	maxKnownFailures = 3
)

// knownFailures holds the entries of KNOWN-RED.txt, one a line. An entry that begins with the
// name of a test allows that test to fail. Any other entry names a rule that is broken outside
// the test run, with its command, and allows no failure.
type knownFailures []string

func readKnownFailures(path string) (knownFailures, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var entries knownFailures
	for _, line := range strings.Split(string(data), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			entries = append(entries, line)
		}
	}
	if tests := entries.testNames(); len(tests) > maxKnownFailures {
		return nil, fmt.Errorf("%s lists %d tests that may fail; the limit is %d", path, len(tests), maxKnownFailures)
	}
	return entries, nil
}

// testNames returns the names of the tests that may fail.
func (k knownFailures) testNames() []string {
	var names []string
	for _, entry := range k {
		if name, _, _ := strings.Cut(entry, " "); strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	return names
}

// entryFor returns the entry that names the test or its parent, or "" if there is none.
func (k knownFailures) entryFor(test string) string {
	for _, entry := range k {
		name, _, _ := strings.Cut(entry, " ")
		if test == name || strings.HasPrefix(test, name+"/") {
			return entry
		}
	}
	return ""
}

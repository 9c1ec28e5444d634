package main

import (
	"fmt"
	"os"
	"strings"
)

const (
	knownRedFile = "KNOWN-RED.txt"
	// knownRedLimit bounds the tests that may fail.
	knownRedLimit = 3
)

// knownRed holds the lines of the list. One that begins with the name of a test lets that
// test fail; any other names a rule that is broken elsewhere, with its command, and lets
// nothing fail.
type knownRed []string

func readKnownRed(path string) (knownRed, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var lines knownRed
	for _, line := range strings.Split(string(data), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	if tests := lines.tests(); len(tests) > knownRedLimit {
		return nil, fmt.Errorf("%s names %d tests; %d at most", path, len(tests), knownRedLimit)
	}
	return lines, nil
}

// tests lists the tests that may fail.
func (k knownRed) tests() []string {
	var names []string
	for _, line := range k {
		if name, _, _ := strings.Cut(line, " "); strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	return names
}

// find returns the line that names the test or its parent, or "".
func (k knownRed) find(test string) string {
	for _, line := range k {
		name, _, _ := strings.Cut(line, " ")
		if test == name || strings.HasPrefix(test, name+"/") {
			return line
		}
	}
	return ""
}

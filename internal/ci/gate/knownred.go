package main

import (
	"fmt"
	"os"
	"strings"
)

const (
	knownRedFile  = "KNOWN-RED.txt"
	knownRedLimit = 3
)

// knownRed holds the lines that name the tests that may fail.
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
	if len(lines) > knownRedLimit {
		return nil, fmt.Errorf("%s has %d lines; %d at most", path, len(lines), knownRedLimit)
	}
	return lines, nil
}

// find returns the line that names the test or its parent, or "".
func (k knownRed) find(test string) string {
	for _, line := range k {
		for _, word := range strings.Fields(line) {
			if test == word || strings.HasPrefix(test, word+"/") {
				return line
			}
		}
	}
	return ""
}

package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
)

type storyCmd struct {
	ID    string   `arg:"" help:"Id of a request, an upstream, an account or a node."`
	Files []string `arg:"" optional:"" help:"Log files of any number of nodes; standard input without any." type:"existingfile"`
}

// Run tells what the logs say of an id, in plain sentences.
func (c *storyCmd) Run() error {
	lines, err := c.read()
	if err != nil {
		return errors.Trace(err)
	}
	story := event.Story(lines, c.ID)
	for _, l := range story {
		fmt.Printf("%s %s: %s\n", l.At.Format(time.RFC3339Nano), l.Node, l.Sentence())
	}
	if len(story) == 0 {
		return errors.Errorf("no line carries %q", c.ID)
	}
	return nil
}

func (c *storyCmd) read() ([]event.Line, error) {
	if len(c.Files) == 0 {
		lines, skipped, err := event.ReadLog(os.Stdin)
		c.note("standard input", skipped)
		return lines, errors.Trace(err)
	}
	var all []event.Line
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines, skipped, err := event.ReadLog(file)
		_ = file.Close() // only read
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		c.note(name, skipped)
		all = append(all, lines...)
	}
	return all, nil
}

func (c *storyCmd) note(name string, skipped int) {
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no events\n", name, skipped)
	}
}

package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
)

type storyCmd struct {
	ID    string   `arg:"" help:"ID of a request, an upstream, an account or a node."`
	Files []string `arg:"" optional:"" help:"Log files of any number of nodes; standard input if none are given." type:"existingfile"`
}

// Run prints the log events that concern an ID as plain sentences.
func (c *storyCmd) Run() error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return errors.Trace(err)
	}
	story := event.Trace(lines, c.ID)
	for _, l := range story {
		fmt.Printf("%s %s: %s\n", l.Time.Format(time.RFC3339Nano), l.Node, l.Describe())
	}
	if len(story) == 0 {
		return errors.Errorf("no log line contains %q", c.ID)
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
)

type timelineCmd struct {
	ID string `arg:"" optional:"" help:"Only events that carry this request, budget, upstream, lease or change."`
}

// Run shows the time line.
func (c *timelineCmd) Run(ctx context.Context, root *cli) error {
	return root.printEvents(ctx, c.ID, func(e *operatorv1.Event) string {
		return fmt.Sprintf("%d %s%s", e.GetNumber(), e.GetName(), fieldsOf(e))
	})
}

type explainCmd struct {
	Request string `arg:"" help:"Request id, as in the X-Request-Id header."`
}

// Run tells the request's story.
func (c *explainCmd) Run(ctx context.Context, root *cli) error {
	return root.printEvents(ctx, c.Request, func(e *operatorv1.Event) string {
		return event.Number(e.GetNumber()).Kind().Meaning + fieldsOf(e)
	})
}

func (c *cli) printEvents(ctx context.Context, id string, line func(*operatorv1.Event) string) error {
	return c.call(ctx, func(conn *connection) error {
		answer, err := conn.client.Events(conn.ctx, &operatorv1.EventsRequest{Fleet: true, Id: id})
		if err != nil {
			return errors.Trace(err)
		}
		for _, e := range answer.GetEvents() {
			at := event.Stamp(e.GetHlc()).Time().Format("15:04:05.000")
			fmt.Printf("%s %s %s\n", at, e.GetNode(), line(e))
		}
		if answer.GetDropped() > 0 {
			fmt.Printf("%d older events were dropped\n", answer.GetDropped())
		}
		return nil
	})
}

func fieldsOf(e *operatorv1.Event) string {
	names := make([]string, 0, len(e.GetFields()))
	for name := range e.GetFields() {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%s", name, e.GetFields()[name])
	}
	return text.String()
}

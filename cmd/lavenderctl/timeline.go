package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// timelineFilter selects events whose fields have the given values.
type timelineFilter struct {
	Account  string `help:"Only events of this client account."`
	Request  string `help:"Only events of this request."`
	Upstream string `help:"Only events of this upstream."`
	Lease    string `help:"Only events of this lease."`
	Change   string `help:"Only events of this operator change."`
	Node     string `help:"Only events of this node incarnation."`
}

func (f timelineFilter) fieldValues() map[string]string {
	return map[string]string{"account": f.Account, "request": f.Request, "upstream": f.Upstream, "lease": f.Lease, "change": f.Change}
}

// mostSelective returns the most selective field value of the filter, so that the nodes send
// only events with that value, or "" for all events.
func (f timelineFilter) mostSelective() string {
	for _, value := range []string{f.Request, f.Change, f.Lease, f.Upstream, f.Account} {
		if value != "" {
			return value
		}
	}
	return ""
}

func (f timelineFilter) matches(e *operatorv1.Event) bool {
	for name, value := range f.fieldValues() {
		if value != "" && e.GetFields()[name] != value {
			return false
		}
	}
	return f.Node == "" || e.GetNode() == f.Node
}

type timelineCmd struct {
	ID string `arg:"" optional:"" help:"Only events that contain this request, budget, upstream, lease or change."`
	timelineFilter
}

// Run prints the timeline.
func (c *timelineCmd) Run(ctx context.Context, root *cli) error {
	id := c.ID
	if id == "" {
		id = c.mostSelective()
	}
	return root.printEventsWithID(ctx, id, c.matches, func(e *operatorv1.Event) string {
		return fmt.Sprintf("%d %s%s", e.GetNumber(), e.GetName(), formatFields(e))
	})
}

type explainCmd struct {
	Request string `arg:"" help:"Request ID, as in the X-Request-Id header."`
}

// Run prints the request's events, and what happened to the node that ran it.
func (c *explainCmd) Run(ctx context.Context, root *cli) error {
	node, _, _ := strings.Cut(c.Request, ".")
	relevant := func(e *operatorv1.Event) bool { return hasFieldValue(e, c.Request) || isNodeLifecycleEvent(e, node) }
	return root.printEventsWithIDs(ctx, []string{c.Request, node}, relevant, func(e *operatorv1.Event) string {
		ev := event.Event{Number: event.Number(e.GetNumber()), Fields: e.GetFields()}
		return ev.Describe() + codeMeaning(e)
	})
}

func hasFieldValue(e *operatorv1.Event, id string) bool {
	for _, value := range e.GetFields() {
		if value == id {
			return true
		}
	}
	return false
}

// isNodeLifecycleEvent reports whether e shows that the node failed or was closed. Without
// these events, a request that was lost with its node would have no final event.
func isNodeLifecycleEvent(e *operatorv1.Event, node string) bool {
	switch event.Number(e.GetNumber()) {
	case event.IncarnationClosed:
		return e.GetFields()["incarnation"] == node
	case event.PeerSuspect, event.PeerGone:
		return e.GetFields()["peer"] == node
	}
	return false
}

// codeMeaning returns the meaning of the event's result code, from the table published to callers.
func codeMeaning(e *operatorv1.Event) string {
	number, err := strconv.ParseUint(e.GetFields()["code"], 10, 32)
	if err != nil {
		return ""
	}
	meaning := " (" + result.Code(number).Info().Meaning + ")"
	if after := e.GetFields()[event.RetryAfterField]; after != "" {
		meaning += " The caller was told to retry after " + after + "."
	}
	return meaning
}

func (c *cli) printEventsWithID(ctx context.Context, id string, match func(*operatorv1.Event) bool, format func(*operatorv1.Event) string) error {
	return c.printEventsWithIDs(ctx, []string{id}, match, format)
}

// printEventsWithIDs requests the events of each ID separately, so that no response is larger
// than necessary, and prints them in causal order.
func (c *cli) printEventsWithIDs(ctx context.Context, ids []string, match func(*operatorv1.Event) bool, format func(*operatorv1.Event) string) error {
	return c.withConnection(ctx, func(conn *connection) error {
		var events []*operatorv1.Event
		dropped := uint64(0)
		for _, id := range ids {
			response, err := conn.client.Events(conn.ctx, &operatorv1.EventsRequest{Fleet: true, Id: id})
			if err != nil {
				return errors.Trace(err)
			}
			events = append(events, response.GetEvents()...)
			dropped = max(dropped, response.GetDropped())
		}
		slices.SortStableFunc(events, func(a, b *operatorv1.Event) int { return cmp.Compare(a.GetHlc(), b.GetHlc()) })
		for i, e := range events {
			if !match(e) || i > 0 && e.GetHlc() == events[i-1].GetHlc() && e.GetNode() == events[i-1].GetNode() {
				continue
			}
			at := event.Timestamp(e.GetHlc()).Time().Format("15:04:05.000")
			fmt.Printf("%s %s %s\n", at, e.GetNode(), format(e))
		}
		if dropped > 0 {
			fmt.Printf("%d events are missing: dropped for lack of memory, or never collected\n", dropped)
		}
		return nil
	})
}

func formatFields(e *operatorv1.Event) string {
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

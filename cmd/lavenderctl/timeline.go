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

// timelineFilter keeps events whose named fields have the given values.
type timelineFilter struct {
	Account  string `help:"Only events of this client account."`
	Request  string `help:"Only events of this request."`
	Upstream string `help:"Only events of this upstream."`
	Lease    string `help:"Only events of this lease."`
	Change   string `help:"Only events of this operators' change."`
	Node     string `help:"Only events of this node incarnation."`
}

func (f timelineFilter) wanted() map[string]string {
	return map[string]string{"account": f.Account, "request": f.Request, "upstream": f.Upstream, "lease": f.Lease, "change": f.Change}
}

// narrowest returns a value that every wanted event carries, so that the nodes send
// no more than that; empty for all events.
func (f timelineFilter) narrowest() string {
	for _, value := range []string{f.Request, f.Change, f.Lease, f.Upstream, f.Account} {
		if value != "" {
			return value
		}
	}
	return ""
}

func (f timelineFilter) passes(e *operatorv1.Event) bool {
	for name, value := range f.wanted() {
		if value != "" && e.GetFields()[name] != value {
			return false
		}
	}
	return f.Node == "" || e.GetNode() == f.Node
}

type timelineCmd struct {
	ID string `arg:"" optional:"" help:"Only events that carry this request, budget, upstream, lease or change."`
	timelineFilter
}

// Run shows the time line.
func (c *timelineCmd) Run(ctx context.Context, root *cli) error {
	id := c.ID
	if id == "" {
		id = c.narrowest()
	}
	return root.printEvents(ctx, id, c.passes, func(e *operatorv1.Event) string {
		return fmt.Sprintf("%d %s%s", e.GetNumber(), e.GetName(), fieldsOf(e))
	})
}

type explainCmd struct {
	Request string `arg:"" help:"Request id, as in the X-Request-Id header."`
}

// Run tells the request's story, and what became of the node that ran it.
func (c *explainCmd) Run(ctx context.Context, root *cli) error {
	node, _, _ := strings.Cut(c.Request, ".")
	concerns := func(e *operatorv1.Event) bool { return carries(e, c.Request) || nodeStory(e, node) }
	return root.printEventsOf(ctx, []string{c.Request, node}, concerns, func(e *operatorv1.Event) string {
		told := event.Event{Number: event.Number(e.GetNumber()), Fields: e.GetFields()}
		return told.Describe() + codeMeaning(e)
	})
}

func carries(e *operatorv1.Event, id string) bool {
	for _, value := range e.GetFields() {
		if value == id {
			return true
		}
	}
	return false
}

// nodeStory tells events of the node's life, without which a request that ended
// with its node has no ending.
func nodeStory(e *operatorv1.Event, node string) bool {
	switch event.Number(e.GetNumber()) {
	case event.IncarnationClosed:
		return e.GetFields()["incarnation"] == node
	case event.PeerSuspect, event.PeerGone:
		return e.GetFields()["peer"] == node
	}
	return false
}

// codeMeaning adds what a result code means, from the table that callers have too.
func codeMeaning(e *operatorv1.Event) string {
	number, err := strconv.ParseUint(e.GetFields()["code"], 10, 32)
	if err != nil {
		return ""
	}
	meaning := " (" + result.Code(number).Info().Meaning + ")"
	if after := e.GetFields()[event.RetryAfterField]; after != "" {
		meaning += " The caller was told to come back after " + after + "."
	}
	return meaning
}

func (c *cli) printEvents(ctx context.Context, id string, wanted func(*operatorv1.Event) bool, line func(*operatorv1.Event) string) error {
	return c.printEventsOf(ctx, []string{id}, wanted, line)
}

// printEventsOf asks for the events of each id, so that no answer is larger than it
// needs to be, and prints them in causal order.
func (c *cli) printEventsOf(ctx context.Context, ids []string, wanted func(*operatorv1.Event) bool, line func(*operatorv1.Event) string) error {
	return c.call(ctx, func(conn *connection) error {
		var events []*operatorv1.Event
		dropped := uint64(0)
		for _, id := range ids {
			answer, err := conn.client.Events(conn.ctx, &operatorv1.EventsRequest{Fleet: true, Id: id})
			if err != nil {
				return errors.Trace(err)
			}
			events = append(events, answer.GetEvents()...)
			dropped = max(dropped, answer.GetDropped())
		}
		slices.SortStableFunc(events, func(a, b *operatorv1.Event) int { return cmp.Compare(a.GetHlc(), b.GetHlc()) })
		for i, e := range events {
			if !wanted(e) || i > 0 && e.GetHlc() == events[i-1].GetHlc() && e.GetNode() == events[i-1].GetNode() {
				continue
			}
			at := event.Timestamp(e.GetHlc()).Time().Format("15:04:05.000")
			fmt.Printf("%s %s %s\n", at, e.GetNode(), line(e))
		}
		if dropped > 0 {
			fmt.Printf("%d events are missing: dropped for lack of memory, or never gathered\n", dropped)
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

package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// stableFor is how long a node must have been undisturbed for its bounds to hold.
	stableFor = 4 * time.Second
	// inForceWithin is when a change must be in force at such a node.
	inForceWithin = 3 * time.Second
	// crossing is how much later than a node's first use of a change a request must be sent
	// for an answer without it to show that the node went back.
	crossing = 250 * time.Millisecond
)

// any tells whether a span of some sort overlaps a time.
func (e *evidence) any(from, to time.Time, of func(*span) bool) bool {
	for i := range e.spans {
		if s := &e.spans[i]; of(s) && s.touches(from, to) {
			return true
		}
	}
	return false
}

// gracefulStops: a node that is told to stop answers what it has sent to an upstream.
func (e *evidence) gracefulStops() []Violation {
	var found []Violation
	for i := range e.spans {
		stop := &e.spans[i]
		if stop.Kind != StopNode {
			continue
		}
		for j := range e.records {
			if r := &e.records[j]; e.cutBy(r, stop) {
				found = append(found, Violation{"planned stops", fmt.Sprintf("%s on %s was cut by the stop of node %d", r.call.ID, r.call.Route.Name, stop.Target)})
			}
		}
	}
	return found
}

// cutBy tells whether a call ran, and got no whole answer from a node while it stopped,
// with nothing else in the way.
func (e *evidence) cutBy(r *record, stop *span) bool {
	node, known := e.nodes[r.node]
	if !known || node != stop.Target || r.outcome.Complete || len(e.runs[r.call.ID]) == 0 || !r.at.Before(stop.end) || !r.end.After(stop.begin) {
		return false
	}
	return !e.any(r.at.Add(-stableFor), r.end, func(s *span) bool {
		return s.spoils() || s != stop && s.harms(node)
	})
}

// inForce: a route that was added is known to an undisturbed node in time.
func (e *evidence) inForce() []Violation {
	var found []Violation
	for i := range e.records {
		r := &e.records[i]
		for _, route := range e.routes {
			if route.kind.Name != r.call.Route.Name || r.outcome.Status != http.StatusNotFound || r.at.Before(route.at.Add(inForceWithin)) {
				continue
			}
			node := e.nodes[r.node]
			if !e.any(r.at.Add(-stableFor), r.end, func(s *span) bool { return s.harms(node) }) {
				found = append(found, Violation{"configuration in force", fmt.Sprintf("%s: node %d knew no %s %s after it was added", r.call.ID, node, route.kind.Name, r.at.Sub(route.at))})
			}
		}
	}
	return found
}

// neverBack: a node that knew a route knows it as long as its process lives.
func (e *evidence) neverBack() []Violation {
	type knowledge struct{ node, route string }
	knew := make(map[knowledge]time.Time)
	for i := range e.records {
		r := &e.records[i]
		k := knowledge{r.node, r.call.Route.Name}
		if at, ok := knew[k]; r.outcome.Status == http.StatusOK && (!ok || r.end.Before(at)) {
			knew[k] = r.end
		}
	}
	var found []Violation
	for i := range e.records {
		r := &e.records[i]
		at, ok := knew[knowledge{r.node, r.call.Route.Name}]
		if !ok || r.outcome.Status != http.StatusNotFound || r.at.Before(at.Add(crossing)) {
			continue
		}
		if !e.any(at.Add(-stableFor), r.end, func(s *span) bool { return s.ends(e.nodes[r.node]) }) {
			found = append(found, Violation{"configuration stays", fmt.Sprintf("%s: node %d knew %s and doesn't any more", r.call.ID, e.nodes[r.node], r.call.Route.Name)})
		}
	}
	return found
}

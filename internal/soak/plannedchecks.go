package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// stablePeriod is how long a node must have been undisturbed for its guarantees to apply.
	stablePeriod = 4 * time.Second
	// maxConfigDelay is the time within which a change must be in force at such a node.
	maxConfigDelay = 3 * time.Second
	// rollbackMargin is how long after a node's first use of a change a request must be sent
	// for a response without the change to prove that the node went back.
	rollbackMargin = 250 * time.Millisecond
)

// nodeOf returns the number of the node to which a call was sent.
func (h *history) nodeOf(r *callRecord) (int, bool) {
	node, known := h.nodeNumbers[r.node]
	return node, known
}

// lostState reports whether a node's process ended or was paused in the interval.
func (h *history) lostState(node int, from, to time.Time) bool {
	return h.anySpan(from, to, func(s *span) bool { return s.stopsProcess(node) }) || slices.ContainsFunc(h.stopsOf(node), func(s processStop) bool {
		return s.exited.After(from) && s.exited.Before(to)
	})
}

// stopsOf returns a node's planned stops.
func (h *history) stopsOf(node int) []processStop {
	if node >= len(h.stops) {
		return nil
	}
	return h.stops[node]
}

// anySpan reports whether a span that match accepts overlaps the interval.
func (h *history) anySpan(from, to time.Time, match func(*span) bool) bool {
	for i := range h.spans {
		if s := &h.spans[i]; match(s) && s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// checkRoutesInForce: an undisturbed node knows an added route within maxConfigDelay.
func (h *history) checkRoutesInForce() []Violation {
	var violations []Violation
	for i := range h.records {
		r := &h.records[i]
		for _, route := range h.routes {
			if route.route.Name != r.call.Route.Name || r.outcome.Status != http.StatusNotFound || r.start.Before(route.at.Add(maxConfigDelay)) {
				continue
			}
			node := h.nodeNumbers[r.node]
			if !h.anySpan(r.start.Add(-stablePeriod), r.end, func(s *span) bool { return s.disturbsNode(node) }) {
				violations = append(violations, Violation{"configuration in force", fmt.Sprintf("%s: node %d did not know route %s %s after it was added", r.call.ID, node, route.route.Name, r.start.Sub(route.at))})
			}
		}
	}
	return violations
}

// checkNoRollback: a node that has served a route knows it for the lifetime of its process.
func (h *history) checkNoRollback() []Violation {
	type nodeRoute struct{ node, route string }
	firstServed := make(map[nodeRoute]time.Time)
	for i := range h.records {
		r := &h.records[i]
		k := nodeRoute{r.node, r.call.Route.Name}
		if at, ok := firstServed[k]; r.outcome.Status == http.StatusOK && (!ok || r.end.Before(at)) {
			firstServed[k] = r.end
		}
	}
	var violations []Violation
	for i := range h.records {
		r := &h.records[i]
		at, ok := firstServed[nodeRoute{r.node, r.call.Route.Name}]
		if !ok || r.outcome.Status != http.StatusNotFound || r.start.Before(at.Add(rollbackMargin)) {
			continue
		}
		if !h.anySpan(at.Add(-stablePeriod), r.end, func(s *span) bool { return s.endsNode(h.nodeNumbers[r.node]) }) {
			violations = append(violations, Violation{"configuration stays", fmt.Sprintf("%s: node %d served route %s and no longer knows it", r.call.ID, h.nodeNumbers[r.node], r.call.Route.Name)})
		}
	}
	return violations
}

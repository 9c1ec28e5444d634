package soak

import (
	"fmt"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// pauseMargin is how long after an answer that asks for a pause requests may still arrive.
	pauseMargin = 500 * time.Millisecond
	// maxRequestsInPause is how many requests from one node may arrive during a pause.
	maxRequestsInPause = 2
)

// checkPauses: a node sends an upstream that asked it for a pause hardly anything during it.
func (h *history) checkPauses() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for upstream, arrivals := range h.arrivals {
		reported := make(map[int]bool)
		for _, a := range arrivals {
			r, known := records[a.ID]
			if !known || a.RetryAfter == 0 {
				continue
			}
			node, known := h.nodeOf(r)
			if !known || reported[node] || h.excusesPause(node, upstream, a) {
				continue
			}
			count := h.arrivalsBetween(records, arrivals, node, a.At.Add(pauseMargin), a.At.Add(a.RetryAfter))
			if count > maxRequestsInPause {
				reported[node] = true
				violations = append(violations, Violation{"requested pauses", fmt.Sprintf("upstream %d asked node %d for a pause of %s in its answer to %s and got %d requests during it",
					upstream, node, a.RetryAfter, a.ID, count)})
			}
		}
	}
	return violations
}

// excusesPause reports whether the node may not know of the pause that an upstream asked for.
func (h *history) excusesPause(node, upstream int, a standin.Arrival) bool {
	return h.lostState(node, a.At, a.At.Add(a.RetryAfter)) ||
		h.anySpan(a.At, a.At.Add(pauseMargin), func(s *span) bool { return s.losesResponses(upstream) || s.cutsUpstreams(node) })
}

// arrivalsBetween counts the arrivals of a node's requests in an interval.
func (h *history) arrivalsBetween(records map[string]*callRecord, arrivals []standin.Arrival, node int, from, to time.Time) int {
	count := 0
	for _, a := range arrivals {
		if !a.At.After(from) || !a.At.Before(to) {
			continue
		}
		if r, known := records[a.ID]; known && h.nodeNumbers[r.node] == node {
			count++
		}
	}
	return count
}

// recordsByID indexes the calls by their IDs.
func (h *history) recordsByID() map[string]*callRecord {
	byID := make(map[string]*callRecord, len(h.records))
	for i := range h.records {
		byID[h.records[i].call.ID] = &h.records[i]
	}
	return byID
}

package soak

import (
	"fmt"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// leaveMargin is how long after a node passed on an answer that says that its upstream leaves
// callers' requests may still reach that upstream from that node.
const leaveMargin = 3 * time.Second

// nodeIncarnation is one incarnation of an upstream as seen from one node.
type nodeIncarnation struct {
	node      int
	startedAt int64
}

// checkLeavingUpstreams: an upstream whose answers say that it leaves gets no new requests from a
// node that has passed on one of them, whatever its entry in the store says.
func (h *history) checkLeavingUpstreams() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for upstream, arrivals := range h.arrivals {
		known := h.knownToLeave(records, arrivals)
		for _, a := range arrivals {
			r, found := records[a.ID]
			if !found {
				continue
			}
			key := nodeIncarnation{h.nodeNumbers[r.node], a.StartedAt}
			since, leaving := latestBefore(known[key], r.start.Add(-leaveMargin))
			if !leaving || h.lostState(key.node, since, a.At) {
				continue
			}
			violations = append(violations, Violation{"leaving upstreams", fmt.Sprintf("%s, sent %s after node %d knew that upstream %d leaves, reached it from there",
				a.ID, r.start.Sub(since), key.node, upstream)})
		}
	}
	return violations
}

// knownToLeave returns when nodes had passed on an upstream's answers that say that it leaves: when
// their callers had all of them. An answer of a request that arrived twice may be another
// upstream's.
func (h *history) knownToLeave(records map[string]*callRecord, arrivals []standin.Arrival) map[nodeIncarnation][]time.Time {
	known := make(map[nodeIncarnation][]time.Time)
	for _, a := range arrivals {
		r, found := records[a.ID]
		if !a.Leaving || !found || r.outcome.Status != http.StatusOK || !r.outcome.Complete || h.arrivalCount(a.ID) > 1 {
			continue
		}
		key := nodeIncarnation{h.nodeNumbers[r.node], a.StartedAt}
		known[key] = append(known[key], r.end)
	}
	return known
}

// latestBefore returns the latest of the times that is before a limit; false if none is.
func latestBefore(times []time.Time, limit time.Time) (time.Time, bool) {
	var latest time.Time
	for _, t := range times {
		if t.Before(limit) && t.After(latest) {
			latest = t
		}
	}
	return latest, !latest.IsZero()
}

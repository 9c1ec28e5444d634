package soak

import (
	"fmt"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// lateRequestDelay is how long after SIGTERM a request must be sent for a planned stop never
	// to cut it.
	lateRequestDelay = 3 * time.Second
	// allowedCutDelay is how long after SIGTERM a stop may cut requests that were sent earlier:
	// in the last sixth of the grace period.
	allowedCutDelay = stopTimeout * 5 / 6
	// exitMargin is how close to the end of a process a request may be sent without having
	// reached it.
	exitMargin = 100 * time.Millisecond
)

// checkCuts: a node that has accepted a request answers it to the end, unless it is killed or
// paused, an upstream that got the request fails, the request's time is over, or a planned stop
// may cut it.
func (h *history) checkCuts() []Violation {
	var violations []Violation
	for i := range h.records {
		r := &h.records[i]
		node, known := h.nodeOf(r)
		if r.outcome.Complete || !known || failedToConnect(r.outcome) || h.explainsCut(r, node) {
			continue
		}
		stop, stopping := h.stopDuring(r, node)
		if !stopping {
			violations = append(violations, Violation{"no needless cuts", fmt.Sprintf("%s on %s was cut by node %d after %s: %v", r.call.ID, r.call.Route.Name, node, r.end.Sub(r.start), r.outcome.Err)})
			continue
		}
		if !h.mayBeCut(r, node, stop) && !h.maybeUnreceived(r, stop) {
			violations = append(violations, Violation{"planned stops", fmt.Sprintf("%s on %s, sent %s after SIGTERM to node %d, was cut %s after it: %v",
				r.call.ID, r.call.Route.Name, r.start.Sub(stop.terminated), node, r.end.Sub(stop.terminated), r.outcome.Err)})
		}
	}
	return violations
}

// explainsCut reports whether something other than a planned stop explains that a call got no
// complete answer.
func (h *history) explainsCut(r *callRecord, node int) bool {
	if limit := r.call.Deadline; limit > 0 && r.end.Sub(r.start) >= limit || r.endedByTimeout() {
		return true
	}
	return h.lostWay(r, node) || h.anySpan(r.start, r.end, func(s *span) bool {
		return s.stopsProcess(node) || s.failsRequests() && h.reached(r.call.ID, s.Target)
	})
}

// reached reports whether a request reached an upstream.
func (h *history) reached(id string, upstream int) bool {
	return upstream < len(h.arrivals) && slices.ContainsFunc(h.arrivals[upstream], func(a standin.Arrival) bool { return a.ID == id })
}

// arrivalCount returns how often a request reached an upstream.
func (h *history) arrivalCount(id string) int {
	count := 0
	for _, arrivals := range h.arrivals {
		for _, a := range arrivals {
			if a.ID == id {
				count++
			}
		}
	}
	return count
}

// stopDuring returns the planned stop of a node that took place during a call.
func (h *history) stopDuring(r *callRecord, node int) (processStop, bool) {
	for _, s := range h.stopsOf(node) {
		if r.start.Before(s.exited.Add(exitMargin)) && r.end.After(s.terminated) {
			return s, true
		}
	}
	return processStop{}, false
}

// mayBeCut reports whether a planned stop may cut a request. A pause of the node after SIGTERM
// shortens the time that it has to end.
func (h *history) mayBeCut(r *callRecord, node int, stop processStop) bool {
	if h.anySpan(stop.terminated, r.end, func(s *span) bool { return (s.Kind == PauseNode || s.Kind == StarveNode) && s.Target == node }) {
		return true
	}
	inTime := r.start.Before(stop.terminated.Add(lateRequestDelay))
	return inTime && len(h.runs[r.call.ID]) > 0 && r.end.After(stop.terminated.Add(allowedCutDelay))
}

// maybeUnreceived reports whether the process may have ended before it received a request.
func (h *history) maybeUnreceived(r *callRecord, stop processStop) bool {
	return r.outcome.Status == 0 && r.start.Sub(stop.exited).Abs() < exitMargin && h.arrivalCount(r.call.ID) == 0
}

package soak

import (
	"fmt"
	"net/http"
)

const (
	// cutMargin is how long a node that is cut from all upstreams has to find other ways.
	cutMargin = stablePeriod
	// Of the calls to such nodes, minCutShare of what nodes with all paths serve is served, unless
	// hardly any fail: unservedCalls, and one in unservedPart.
	minCutShare   = 2.0 / 3
	unservedCalls = 10
	unservedPart  = 50
)

// servedCalls counts calls and those that were served.
type servedCalls struct{ calls, served int }

func (c *servedCalls) add(r *callRecord) {
	c.calls++
	if r.outcome.Status == http.StatusOK && r.outcome.Complete {
		c.served++
	}
}

func (c *servedCalls) share() float64 { return float64(c.served) / float64(max(1, c.calls)) }

// checkCutFromUpstreams: callers of a node that is cut from all upstreams are served about as well as
// those of the nodes that reach them.
func (h *history) checkCutFromUpstreams() []Violation {
	var cut, others servedCalls
	for i := range h.records {
		r := &h.records[i]
		node, known := h.nodeOf(r)
		if !known || r.call.Route == overdueRoute || !h.longCut(r) || h.disturbed(node, r) {
			continue
		}
		switch {
		case !h.cutFor(node, r):
			if !h.anySpan(r.start.Add(-cutMargin), r.end, func(s *span) bool { return s.cutsUpstreams(node) }) {
				others.add(r)
			}
		case h.hasRelay(node, r):
			cut.add(r)
		}
	}
	failed := cut.calls - cut.served
	if cut.share() >= minCutShare*others.share() || failed <= unservedCalls+cut.calls/unservedPart {
		return nil
	}
	return []Violation{{"cut from upstreams", fmt.Sprintf("%d of %d calls to nodes without paths to upstreams were served, %d of %d to others", cut.served, cut.calls, others.served, others.calls)}}
}

// cutFor reports whether a node had been cut from all upstreams for cutMargin when a call was made.
func (h *history) cutFor(node int, r *callRecord) bool {
	for i := range h.spans {
		if s := &h.spans[i]; s.cutsUpstreams(node) && s.begin.Add(cutMargin).Before(r.start) && r.start.Before(s.end) {
			return true
		}
	}
	return false
}

// longCut reports whether any node had been cut for cutMargin when a call was made.
func (h *history) longCut(r *callRecord) bool {
	for _, node := range h.nodeNumbers {
		if h.cutFor(node, r) {
			return true
		}
	}
	return false
}

// disturbed reports whether a step other than a cut disturbs a node during a call or before it.
func (h *history) disturbed(node int, r *callRecord) bool {
	return h.anySpan(r.start.Add(-stablePeriod), r.end, func(s *span) bool { return s.disturbsNode(node) })
}

// hasRelay reports whether a node reaches upstreams and is undisturbed during a call to another node.
func (h *history) hasRelay(node int, r *callRecord) bool {
	for _, other := range h.nodeNumbers {
		cut := h.anySpan(r.start, r.end, func(s *span) bool { return s.cutsUpstreams(other) })
		if other != node && !cut && !h.disturbed(other, r) && h.mayRelay(other, r) {
			return true
		}
	}
	return false
}

// mayRelay reports whether a call may pass through a node.
func (h *history) mayRelay(node int, r *callRecord) bool {
	region := h.regionOf(r)
	return region == "" || node < len(h.nodePlaces) && h.nodePlaces[node].region == region
}

// lostWay reports whether a node lost its way to an upstream during a call: its own path, or another node
// through which it reached the upstream.
func (h *history) lostWay(r *callRecord, node int) bool {
	if !h.anySpan(r.start, r.end, func(s *span) bool { return s.cutsUpstreams(node) }) {
		return false
	}
	return h.anySpan(r.start, r.end, func(s *span) bool {
		if s.Target == node || s.Kind == KillAll {
			return s.cutsUpstreams(node) && s.inForce.After(r.start)
		}
		return s.stopsProcess(s.Target) || s.cutsUpstreams(s.Target) && s.inForce.After(r.start) || s.Kind == StopNode && r.end.After(s.begin.Add(allowedCutDelay))
	})
}

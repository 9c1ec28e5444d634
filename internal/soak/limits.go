package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// minLimitDuration is how long an upstream at least names a limit: longer than the span in which its
	// requests are counted, which begins as long after the limit was named.
	minLimitDuration = 9 * time.Second
	// forgetting is how long after a fault of a node the node may not know the limit, or the other nodes.
	forgetting = 5 * time.Second
)

// limitsPerSecond are the limits that upstreams name. Most are far below what they get.
var limitsPerSecond = []float64{0.5, 1, 2, 5, 10}

// namedLimits returns, for half of the seeds, limits that some or all upstreams name. They have numbers of their
// own, so that other steps don't depend on them.
func namedLimits(r *rand.Rand, length time.Duration, upstreams int) []Step {
	if r.IntN(2) == 0 {
		return nil
	}
	count := 1 + r.IntN(upstreams)
	s := Step{Kind: UpstreamNamesLimit, At: time.Duration(r.Int64N(int64(length / 4))), Target: r.IntN(upstreams)}
	var steps []Step
	for range count {
		s.Limit = limitsPerSecond[r.IntN(len(limitsPerSecond))]
		s.Duration = minLimitDuration + time.Duration(r.Int64N(int64(maxFaultDuration)))
		steps = append(steps, s)
		s.Target = (s.Target + 1) % upstreams
	}
	return steps
}

// checkNamedLimits: the nodes that an upstream told how many requests a second it takes from all of them send it no
// more.
func (h *history) checkNamedLimits() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for upstream, arrivals := range h.arrivals {
		worst := standin.WorstLimitExcess(h.withSenders(records, arrivals), h.limitExcuses(upstream))
		if worst.Exceeded() {
			violations = append(violations, Violation{"named limits", fmt.Sprintf("upstream %d, which takes %.1f requests a second, got %d in 4 s until %s, %d are allowed",
				upstream, worst.Limit, worst.Arrived, worst.At.Format(time.TimeOnly), worst.Allowed)})
		}
	}
	return violations
}

// withSenders returns the arrivals with the number of the node that sent each as its origin: connections come
// through proxies. Arrivals of unknown origin are left out.
func (h *history) withSenders(records map[string]*callRecord, arrivals []standin.Arrival) []standin.Arrival {
	known := make([]standin.Arrival, 0, len(arrivals))
	for _, a := range arrivals {
		if r, ok := records[a.ID]; ok {
			if node, ok := h.nodeOf(r); ok {
				a.From = strconv.Itoa(node)
				known = append(known, a)
			}
		}
	}
	return known
}

func (h *history) limitExcuses(upstream int) standin.LimitExcuses {
	nodeOf := func(a standin.Arrival) int {
		node, _ := strconv.Atoi(a.From) // set by withSenders
		return node
	}
	return standin.LimitExcuses{
		Unheard: func(a standin.Arrival) bool {
			return h.anySpan(a.At, a.At.Add(pauseMargin), func(s *span) bool { return s.losesResponses(upstream) || s.cutsUpstreams(nodeOf(a)) })
		},
		Excused: func(a standin.Arrival) bool {
			return h.lostState(nodeOf(a), a.At.Add(-forgetting), a.At) || h.anySpan(a.At.Add(-forgetting), a.At, func(s *span) bool { return s.cutsUpstreams(nodeOf(a)) })
		},
	}
}

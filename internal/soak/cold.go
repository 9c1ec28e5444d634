package soak

import (
	"fmt"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// coldPerSecond is how many requests a second a cold upstream takes: far fewer than it gets otherwise.
	coldPerSecond = 4
	// maxColdRequests is how many a cold upstream takes in any second.
	maxColdRequests = coldPerSecond*standin.WarmupOverage + standin.WarmupSlack
	// coldNotice is how long after an upstream became cold requests of nodes that haven't heard of it may arrive: its
	// entry says so after heartbeatInterval at the latest.
	coldNotice = heartbeatInterval + 500*time.Millisecond
)

var fleetWarmup = standin.Warmup{Duration: 5 * time.Second, PerSecond: coldPerSecond}

// restartCold restarts an upstream, which is cold after that and says so at once. The step lasts as long.
func (f *fleet) restartCold(s Step) {
	f.changeFaults(s.Target, func(*standin.Faults) {
		u := f.upstreams[s.Target]
		u.RestartAs(f.versions[s.Target]) // clears all faults; those of other steps are set again
		u.SetCold(fleetWarmup.Duration)
		u.Register(f.store, f.states[s.Target])
	})
	time.Sleep(s.Duration)
}

// checkColdUpstreams: a cold upstream gets no more requests in any second than the configuration and the settings allow, from
// all nodes that could read that it is cold.
func (h *history) checkColdUpstreams() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for upstream, arrivals := range h.arrivals {
		var window, worst []standin.Arrival // window holds the arrivals of the last second
		for _, a := range arrivals {
			if a.ColdSince.IsZero() || a.At.Sub(a.ColdSince) < coldNotice || h.mayNotKnowCold(records[a.ID], a) {
				continue
			}
			for window = append(window, a); a.At.Sub(window[0].At) >= time.Second; {
				window = window[1:]
			}
			if len(window) > len(worst) {
				worst = window
			}
		}
		if len(worst) > maxColdRequests {
			last := worst[len(worst)-1]
			violations = append(violations, Violation{"cold upstreams", fmt.Sprintf("upstream %d got %d requests in a second %s after it became cold, %v are allowed",
				upstream, len(worst), last.At.Sub(last.ColdSince), maxColdRequests)})
		}
	}
	return violations
}

// mayNotKnowCold reports whether the node that sent a request may not have read the entry that says that the upstream is cold,
// as it was paused or cut off from the store when that was written, and until shortly before.
func (h *history) mayNotKnowCold(r *callRecord, a standin.Arrival) bool {
	if r == nil {
		return false
	}
	node := h.nodeNumbers[r.node]
	return h.anySpan(a.ColdSince, a.ColdSince.Add(coldNotice), func(s *span) bool {
		return s.disturbsNode(node) && !s.endsNode(node) && s.end.Add(stablePeriod).After(a.At)
	})
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// place is a data centre and its region.
type place struct{ dataCentre, region string }

// places are where the nodes and upstreams of a run with Options.Places are; in other runs all are in the first one.
var places = []place{{"dc", "region"}, {"dc2", "region2"}}

// The route and the client account that are limited to the first region.
var (
	limitedRoute   = standin.Route{Name: "limited", Kind: "streaming", Engine: true, Resumable: true, MaxAttempts: 2, Region: places[0].region}
	limitedAccount = standin.Account{Name: "near", Keys: []string{"key-near"}, Prepaid: initialPrepaid, Region: places[0].region}
)

const (
	// evacuatedPlace is the index of the data centre that is evacuated.
	evacuatedPlace = 1
	// minEvacuation is how long an evacuation lasts at least: longer than nodes have to comply and a loss of the store within
	// it, with the time after that in which a node may not have read it.
	minEvacuation = standin.EvacuationTime + maxFaultDuration + stablePeriod
	// evacuationEnd is how long before the recorded end of an evacuation nodes may have read that it ends.
	evacuationEnd = 100 * time.Millisecond
)

// nodePlace returns where a node is: nodes alternate.
func (o *Options) nodePlace(node int) place {
	if !o.Places {
		return places[0]
	}
	return places[node%len(places)]
}

// upstreamPlace returns where an upstream is: the last engine and the last plain service are in the second data centre, so
// that both versions and both services are in the first one.
func (o *Options) upstreamPlace(upstream int) place {
	if o.Places && (upstream == engineCount-1 || upstream == upstreamCount-1) {
		return places[1]
	}
	return places[0]
}

// placeSteps returns an evacuation, during which all nodes are killed or the store is away or both, and restarts of cold
// upstreams. They have numbers of their own, so that other steps don't depend on them.
func placeSteps(r *rand.Rand, length time.Duration, upstreams int) []Step {
	evacuation := Step{Kind: EvacuateDataCentre, At: time.Duration(r.Int64N(int64(length / 4))), Duration: minEvacuation + time.Duration(r.Int64N(int64(maxFaultDuration))), Target: evacuatedPlace}
	steps := []Step{evacuation}
	during := func(kind Kind) {
		at := evacuation.At + time.Duration(r.Int64N(int64(evacuation.Duration)))
		steps = append(steps, Step{Kind: kind, At: at, Duration: time.Duration(r.Int64N(int64(maxFaultDuration)))})
	}
	which := r.IntN(3)
	if which != 0 {
		during(KillAll)
	}
	if which != 1 {
		during(StoreUnavailable)
	}
	for range 1 + r.IntN(2) {
		steps = append(steps, Step{Kind: UpstreamRestartsCold, At: time.Duration(r.Int64N(int64(length))), Duration: fleetWarmup.Duration, Target: r.IntN(upstreams)})
	}
	return steps
}

// evacuate evacuates a data centre for a time. Its upstreams, which get no requests meanwhile, are cold after that.
func (f *fleet) evacuate(s Step, inForce func()) {
	dataCentre := places[s.Target].dataCentre
	f.writeEvacuation(dataCentre, true)
	inForce()
	time.Sleep(s.Duration)
	for _, u := range f.upstreams {
		if u.DataCentre == dataCentre {
			u.SetCold(fleetWarmup.Duration)
		}
	}
	f.writeEvacuation(dataCentre, false)
}

func (f *fleet) writeEvacuation(dataCentre string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operator.Evacuate(dataCentre, evacuated)
}

// regionOf returns the only region in which a call may be served; empty if any.
func (h *history) regionOf(r *callRecord) string {
	if r.call.Route.Region != "" {
		return r.call.Route.Region
	}
	return h.accountRegions[r.account]
}

// checkRegions: a request on a limited route, or of a limited account, reaches no upstream outside its region.
func (h *history) checkRegions() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for upstream, arrivals := range h.arrivals {
		at := h.upstreamPlaces[upstream]
		for _, a := range arrivals {
			r, known := records[a.ID]
			if !known {
				continue
			}
			if region := h.regionOf(r); region != "" && region != at.region {
				violations = append(violations, Violation{"regions", fmt.Sprintf("%s of %s on %s reached upstream %d in %s through node %d, only %s is allowed",
					a.ID, r.account, r.call.Route.Name, upstream, at.region, h.nodeNumbers[r.node], region)})
			}
		}
	}
	return violations
}

// checkEvacuations: a request that is sent later than EvacuationTime after the evacuation of a data centre was acknowledged
// reaches no upstream there until the evacuation ends, unless its node was restarted, paused or cut off from the store
// within stablePeriod before.
func (h *history) checkEvacuations() []Violation {
	records := h.recordsByID()
	var violations []Violation
	for i := range h.spans {
		s := &h.spans[i]
		if s.Kind != EvacuateDataCentre {
			continue
		}
		for upstream, arrivals := range h.arrivals {
			at := h.upstreamPlaces[upstream]
			if at != places[s.Target] {
				continue
			}
			for _, a := range arrivals {
				r, known := records[a.ID]
				if !known || !a.At.Before(s.end.Add(-evacuationEnd)) || !r.start.After(s.inForce.Add(standin.EvacuationTime)) || h.mayLackRecords(r, a.At) {
					continue
				}
				violations = append(violations, Violation{"evacuations", fmt.Sprintf("%s, sent through node %d %s after the evacuation of %s was acknowledged, reached upstream %d there",
					a.ID, h.nodeNumbers[r.node], r.start.Sub(s.inForce), at.dataCentre, upstream)})
			}
		}
	}
	return violations
}

// mayLackRecords reports whether the node that a call was sent to may not have read the store's records when the call reached
// an upstream.
func (h *history) mayLackRecords(r *callRecord, arrived time.Time) bool {
	node, from := h.nodeNumbers[r.node], arrived.Add(-stablePeriod)
	return h.lostState(node, from, arrived) || h.anySpan(from, arrived, func(s *span) bool { return s.disturbsNode(node) })
}

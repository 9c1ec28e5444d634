package edgenode

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/throttle"
)

const (
	// unknownEngineTime and unknownPlainTime are how long requests are expected to take before any was measured.
	unknownEngineTime = 600 * time.Millisecond
	unknownPlainTime  = 50 * time.Millisecond
)

// rampedService is what this node knows of a service whose upstreams are ramped up.
type rampedService struct {
	// usual and wait are the means, over the upstreams that aren't ramped up now, of how long requests take in all and
	// until their first event; zero if unknown.
	usual, wait time.Duration
}

// rampView is what this node knows for the start of ramps, as of the last pass over the upstreams.
type rampView struct {
	// services holds those whose upstreams are ramped up, by name, parts this node's part in each of their data centres.
	services map[string]rampedService
	parts    map[string]throttle.Part
}

// rampStart tells whether an upstream is ramped up once it has started or recovered, and with what.
func (n *Node) rampStart(e directory.Entry) (throttle.RampStart, bool) {
	view := n.ramps.Load()
	if view == nil {
		return throttle.RampStart{}, false
	}
	service, ok := view.services[e.Service]
	if !ok {
		return throttle.RampStart{}, false
	}
	part, ok := view.parts[e.DataCentre]
	if !ok {
		part = n.rampPart(e.DataCentre)
	}
	start := throttle.RampStart{Slots: e.Slots, Part: part, Warmup: e.Warmup, Usual: service.usual, UsualWait: service.wait}
	if start.Usual == 0 {
		start.Usual = unknownPlainTime
		if n.isEngine(e.Service) {
			start.Usual = unknownEngineTime
		}
	}
	return start, true
}

// rampPart returns this node's part of the requests to the upstreams of a data centre during a ramp. Unlike sendPart, it
// keeps the last known part for however long the store can't be read: a ramp isn't a limit that must hold, and
// with hardly any share at all nodes, an upstream that recovers during an outage of the store would stay idle.
func (n *Node) rampPart(dataCentre string) throttle.Part {
	if !n.roster.HasRead() {
		return throttle.Part{Share: 1 / float64(unknownSenders), Senders: unknownSenders}
	}
	return n.partAmong(n.roster.Holding(), dataCentre)
}

// watchRamps tracks which services are ramped up and what is usual for them, adjusts the node's parts, and records
// what begins and ends.
func (n *Node) watchRamps(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), limitInterval, func(context.Context) { n.adjustRamps(n.deps.Clock.Now()) })
}

// adjustRamps works out the node's part once for each data centre: a part is a pass over all nodes' records, and
// thousands of upstreams may start at once.
func (n *Node) adjustRamps(now time.Duration) {
	snapshot, view := n.directory.Current(), &rampView{make(map[string]rampedService), make(map[string]throttle.Part)}
	for _, name := range snapshot.Services() {
		upstreams := snapshot.Upstreams(name)
		service, enabled := n.rampsOf(name, upstreams)
		if enabled {
			view.services[name] = service
		}
		for _, u := range upstreams {
			if enabled {
				if _, ok := view.parts[u.DataCentre]; !ok {
					view.parts[u.DataCentre] = n.rampPart(u.DataCentre)
				}
				u.Throttle.AdjustRamp(view.parts[u.DataCentre], now)
			}
			if report, ok := u.Throttle.TakeRampReport(now); ok {
				n.recordRamp(u, report)
			}
		}
	}
	n.ramps.Store(view)
}

// rampsOf reports whether the upstreams of a service are ramped up, since the configuration says so or since one
// reports a load figure that enables it, and what is usual for the service.
func (n *Node) rampsOf(name string, upstreams []*directory.Upstream) (s rampedService, enabled bool) {
	configured := n.coldLimited(name)
	var tookSum, waitSum, count time.Duration
	for _, u := range upstreams {
		u.Throttle.SetRampConfigured(configured)
		if !u.Throttle.RampEnabled() {
			continue
		}
		enabled = true
		if took, wait := u.Throttle.Usual(); took > 0 && wait > 0 && !u.Throttle.Ramping() {
			tookSum, waitSum, count = tookSum+took, waitSum+wait, count+1
		}
	}
	if count > 0 {
		s = rampedService{tookSum / count, waitSum / count}
	}
	return s, enabled || configured
}

// coldLimited reports whether the configuration limits the requests to the service's cold upstreams.
func (n *Node) coldLimited(service string) bool {
	s := n.configuredService(service)
	return s != nil && s.Warmup.Limited()
}

func (n *Node) isEngine(service string) bool {
	s := n.configuredService(service)
	return s != nil && s.Engine != nil
}

// configuredService returns a service of the configuration in force; nil if there is none.
func (n *Node) configuredService(name string) *catalog.Service {
	view := n.catalog.Current()
	if view == nil {
		return nil
	}
	return view.Service(name)
}

// recordRamp records that a ramp began, ended or both. One that ended before another began is recorded first.
func (n *Node) recordRamp(u *directory.Upstream, r throttle.RampReport) {
	begin := func() {
		if r.Began {
			n.deps.Metrics.RecordRampBegin(r)
			n.deps.Events.Record(event.UpstreamRamp, "upstream", u.ID, "service", u.Service, "ramp", true, "recovered", r.Recovered, "slots", u.Slots, "share", r.Share, "born", u.StartedAt)
		}
	}
	if r.Outcome == "" {
		begin()
		return
	}
	endedFirst := u.Throttle.Ramping()
	if !endedFirst {
		begin()
	}
	n.deps.Metrics.RecordRampEnd(r)
	n.deps.Events.Record(event.UpstreamRamp, "upstream", u.ID, "service", u.Service, "ramp", false, "outcome", string(r.Outcome), "ms", r.Lasted.Milliseconds(), "level", r.Level, "answers", r.Answers, "refusals", r.Refusals, "born", u.StartedAt)
	if endedFirst {
		begin()
	}
}

// RampingUpstreams returns the numbers of upstreams that are ramped up now, or will be once they answer, by service.
func (n *Node) RampingUpstreams() map[string]int {
	counts, snapshot := make(map[string]int), n.directory.Current()
	for _, service := range snapshot.Services() {
		for _, u := range snapshot.Upstreams(service) {
			if u.Throttle.Ramping() {
				counts[service]++
			}
		}
	}
	return counts
}

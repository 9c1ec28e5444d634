package gateway

import (
	"expvar"
	"time"

	"lavenderpin.dev/lavenderpin/eventstream"
	"lavenderpin.dev/lavenderpin/internal/latency"
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/result"
)

// Metrics holds the gateway's counters, which expvar publishes as maps.
type Metrics struct {
	finished *expvar.Map
	refused  *expvar.Map
	latency  *expvar.Map
	// unread counts requests by how long they waited to be read after they had arrived.
	unread *expvar.Map
	// stages counts requests by how long they spent at each stage on this node.
	stages *expvar.Map
	// continued counts the streams that went on at an upstream, by how its version compares with the one
	// that began them.
	continued *expvar.Map
	// takenUp counts the streams that callers took up, by how this node knew where they began.
	takenUp *expvar.Map
	// limits counts the limits on their requests that upstreams named or gave up.
	limits *expvar.Map
	// ramps counts the ramps of upstreams that began, by why, and ended, by how.
	ramps *expvar.Map
	// linkAdmission counts the requests that were decided on while the link was crowded.
	linkAdmission *expvar.Map
	// memory counts requests that were refused since no engine has memory for them.
	memory *expvar.Map
	// invalidEvents counts what upstreams sent in streams that wasn't the next event, by why.
	invalidEvents *expvar.Map
}

// NewMetrics returns new counters. If publish is set, it registers them with expvar.
func NewMetrics(publish bool) *Metrics {
	m := &Metrics{finished: new(expvar.Map).Init(), refused: new(expvar.Map).Init(), latency: new(expvar.Map).Init(), unread: new(expvar.Map).Init(), stages: new(expvar.Map).Init(), continued: new(expvar.Map).Init(), takenUp: new(expvar.Map).Init(), limits: new(expvar.Map).Init(), ramps: new(expvar.Map).Init(), linkAdmission: new(expvar.Map).Init(), memory: new(expvar.Map).Init(), invalidEvents: new(expvar.Map).Init()}
	if publish {
		expvar.Publish("requests_finished", m.finished)
		expvar.Publish("requests_refused", m.refused)
		expvar.Publish("request_latency_ms", m.latency)
		expvar.Publish("request_unread_ms", m.unread)
		expvar.Publish("request_stage_ms", m.stages)
		expvar.Publish("streams_continued", m.continued)
		expvar.Publish("streams_taken_up", m.takenUp)
		expvar.Publish("upstream_limits", m.limits)
		expvar.Publish(metricRamps, m.ramps)
		expvar.Publish("link_admission", m.linkAdmission)
		expvar.Publish("upstream_memory", m.memory)
		expvar.Publish(metricInvalidEvents, m.invalidEvents)
	}
	return m
}

func (m *Metrics) recordFinished(route, outcome string, took time.Duration) {
	m.finished.Add(outcome, 1)
	m.latency.Add(route+"_"+latency.Bucket(took), 1)
}

func (m *Metrics) recordUnread(waited time.Duration) {
	m.unread.Add(latency.Bucket(waited), 1)
}

func (m *Metrics) recordContinued(version string) { m.continued.Add(version, 1) }

// What upstream_limits counts.
const (
	limitNamed = "named"
	limitGone  = "gone"
)

func (m *Metrics) recordLimit(what string) { m.limits.Add(what, 1) }

func (m *Metrics) recordLinkDecision(d linkload.Decision) {
	switch {
	case !d.Crowded:
	case d.Fair:
		m.linkAdmission.Add("admitted_for_share", 1)
	case d.Admitted:
		m.linkAdmission.Add("admitted", 1)
	default:
		m.linkAdmission.Add("refused", 1)
		m.linkAdmission.Add("refused_bytes", d.Saved)
	}
}

// What upstream_memory counts.
const (
	memoryTooLarge = "too_large"
	memoryTaken    = "taken"
)

func (m *Metrics) recordMemory(why string) { m.memory.Add(why, 1) }

func (m *Metrics) recordInvalidEvent(why eventstream.Reason) { m.invalidEvents.Add(string(why), 1) }

func (m *Metrics) recordTakenUp(source string) { m.takenUp.Add(source, 1) }

func (m *Metrics) recordRefused(code result.Code) { m.refused.Add(code.String(), 1) }

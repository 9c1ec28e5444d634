package gateway

// MetricDoc describes a metric of a node on the platform.
type MetricDoc struct{ Name, Meaning string }

// The names of metrics.
const (
	// metricInvalidEvents counts what upstreams sent in streams that wasn't an event of them.
	metricInvalidEvents = "stream_events_invalid"
	metricRamps         = "upstream_ramps"
	// MetricRamping is published by the node's command.
	MetricRamping = "upstreams_ramping"
	// MetricBodyMemory is published by the node's command.
	MetricBodyMemory = "body_memory_left_bytes"
)

// MetricDocs lists the metrics that docs/METRICS.md describes; docs/OPERATIONS.md names the others.
var MetricDocs = []MetricDoc{
	{metricInvalidEvents, "what upstreams sent in streams that was not the next event, by the check that it failed: `no_id`, `bad_id`, `no_data`, `bad_line`, `bad_text`, `repeated`, `missing` (the ID leaves out events), `restarted`, `early` (the answer ended before an event that is known), `too_many`, `too_long`"},
	{metricRamps, "ramps of upstreams that began (`started`, or `recovered` after they couldn't be reached), and that ended: `complete`, `time_over` while they still limited requests, `unreachable`, `replaced` by another"},
	{MetricBodyMemory, "how much memory is left for upstreams' responses that are read before they are passed on, in bytes; at 0 what is longer than 4 KB is passed on as it comes, or fails if it may be passed on only whole"},
	{MetricRamping, "by service, upstreams that are ramped up now, or will be once they answer"},
}

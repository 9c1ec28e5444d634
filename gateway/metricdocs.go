package gateway

// MetricDoc describes a metric of a node on the platform.
type MetricDoc struct{ Name, Meaning string }

// The names of the metrics about ramps.
const (
	metricRamps = "upstream_ramps"
	// MetricRamping is published by the node's command.
	MetricRamping = "upstreams_ramping"
)

// MetricDocs lists the metrics that docs/METRICS.md describes; docs/OPERATIONS.md names the others.
var MetricDocs = []MetricDoc{
	{metricRamps, "ramps of upstreams that began (`started`, or `recovered` after they couldn't be reached), and that ended: `complete`, `time_over` while they still limited requests, `unreachable`, `replaced` by another"},
	{MetricRamping, "by service, upstreams that are ramped up now, or will be once they answer"},
}

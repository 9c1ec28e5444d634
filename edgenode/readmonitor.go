package edgenode

import (
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// lateReadThreshold is how far beyond its expected time a read may succeed without being logged:
// less than a tenth of the shortest time in which a change must take effect.
const lateReadThreshold = 250 * time.Millisecond

// readMonitor logs the reads of a topic: the first of consecutive failures, the success after
// them, and late successes. Its counters are safe for concurrent use.
type readMonitor struct {
	topic  string
	events *event.Recorder
	clock  bootclock.Clock
	// consecutiveFailures counts the failed reads since the last success.
	consecutiveFailures int

	lastSuccess atomic.Int64
	failures    atomic.Int64
}

// newReadMonitor adds a monitor of a topic's reads. It must be called before the loops start.
func (n *Node) newReadMonitor(topic string) *readMonitor {
	m := &readMonitor{topic: topic, events: n.deps.Events, clock: n.deps.Clock}
	n.readMonitors = append(n.readMonitors, m)
	return m
}

// ReadFailed counts a failed read and logs the first of consecutive ones.
func (m *readMonitor) ReadFailed(err error) {
	m.failures.Add(1)
	m.consecutiveFailures++
	if m.consecutiveFailures == 1 {
		m.events.Record(event.LogUnreachable, "topic", m.topic, "error", err)
	}
}

// ReadSucceeded logs a read after failed ones, and one that is late.
func (m *readMonitor) ReadSucceeded(stats keyedlog.ReadStats) {
	m.lastSuccess.Store(int64(m.clock.Now()))
	failed := m.consecutiveFailures
	m.consecutiveFailures = 0
	number := event.LogReadLate
	switch {
	case failed > 0:
		number = event.LogReachable
	case stats.Delay <= lateReadThreshold:
		return
	}
	m.events.Record(number, "topic", m.topic, "failed", failed, "since_ms", stats.SinceLast.Milliseconds(), "late_ms", stats.Delay.Milliseconds(),
		"took_ms", stats.Duration.Milliseconds(), "records", stats.Records, "bytes", stats.Bytes)
}

// TopicStats are the statistics of a topic's reads.
type TopicStats struct {
	// AgeMs is the time since the last successful read, in milliseconds; -1 before the first.
	AgeMs int64 `json:"age_ms"`
	// Failures counts failed reads.
	Failures int64 `json:"failures"`
}

// TopicStats returns the read statistics of each topic, by name.
func (n *Node) TopicStats() map[string]TopicStats {
	stats := make(map[string]TopicStats, len(n.readMonitors))
	for _, m := range n.readMonitors {
		s := TopicStats{AgeMs: -1, Failures: m.failures.Load()}
		if lastSuccess := time.Duration(m.lastSuccess.Load()); lastSuccess != 0 {
			s.AgeMs = (m.clock.Now() - lastSuccess).Milliseconds()
		}
		stats[m.topic] = s
	}
	return stats
}

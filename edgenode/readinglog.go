package edgenode

import (
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// lateReading is how much later than usual a reading may succeed before it is logged: less
// than a tenth of the shortest time in which news must be in force.
const lateReading = 250 * time.Millisecond

// readingLog logs how a topic is read: the first failure in a row, the success after it, and
// successes that come late. Its counters are safe for concurrent use.
type readingLog struct {
	topic  string
	events *event.Recorder
	clock  bootclock.Clock
	// failed counts the failed readings in a row.
	failed int

	caughtAt atomic.Int64
	failures atomic.Int64
}

// logReadings returns the log of a topic's readings. It is called before the loops begin.
func (n *Node) logReadings(topic string) *readingLog {
	l := &readingLog{topic: topic, events: n.deps.Events, clock: n.deps.Clock}
	n.readings = append(n.readings, l)
	return l
}

func (l *readingLog) lost(err error) {
	l.failures.Add(1)
	l.failed++
	if l.failed == 1 {
		l.events.Record(event.LogUnreachable, "topic", l.topic, "error", err)
	}
}

func (l *readingLog) caught(r keyedlog.ReadStats) {
	l.caughtAt.Store(int64(l.clock.Now()))
	failed := l.failed
	l.failed = 0
	number := event.LogReadLate
	switch {
	case failed > 0:
		number = event.LogReachable
	case r.Delay <= lateReading:
		return
	}
	l.events.Record(number, "topic", l.topic, "failed", failed, "since_ms", r.SinceLast.Milliseconds(), "late_ms", r.Delay.Milliseconds(),
		"took_ms", r.Duration.Milliseconds(), "records", r.Records, "bytes", r.Bytes)
}

// TopicStats tells how a topic is being read.
type TopicStats struct {
	// AgeMs is how long ago a reading last succeeded, in milliseconds; -1 before the first.
	AgeMs int64 `json:"age_ms"`
	// Failures counts failed readings.
	Failures int64 `json:"failures"`
}

// TopicStats returns how each topic is being read, by name.
func (n *Node) TopicStats() map[string]TopicStats {
	stats := make(map[string]TopicStats, len(n.readings))
	for _, l := range n.readings {
		s := TopicStats{AgeMs: -1, Failures: l.failures.Load()}
		if at := time.Duration(l.caughtAt.Load()); at != 0 {
			s.AgeMs = (l.clock.Now() - at).Milliseconds()
		}
		stats[l.topic] = s
	}
	return stats
}

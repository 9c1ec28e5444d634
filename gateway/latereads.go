package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

const (
	// lateRead is from how long on a request's wait to be read counts as late: a node that has
	// processor time reads within a few milliseconds.
	lateRead = 100 * time.Millisecond
	// lateReadsInterval is the shortest time between two log lines on them.
	lateReadsInterval = time.Second
)

// recordUnread takes note of how long a request waited to be read.
func (g *Gateway) recordUnread(waited time.Duration) {
	g.Metrics.recordUnread(waited)
	if count, longest, due := g.lateReads.Add(g.Clock.Now(), waited); due {
		g.Events.Record(event.RequestsReadLate, "requests", count, "longest_ms", longest.Milliseconds())
	}
}

package gateway

import (
	"sync/atomic"
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

// lateReads are the requests that waited long to be read, since the last log line on them.
type lateReads struct {
	requests, longest, loggedAt atomic.Int64
}

// recordUnread takes note of how long a request waited to be read.
func (g *Gateway) recordUnread(waited time.Duration) {
	g.Metrics.recordUnread(waited)
	if waited < lateRead {
		return
	}
	l := &g.lateReads
	l.requests.Add(1)
	for longest := l.longest.Load(); int64(waited) > longest && !l.longest.CompareAndSwap(longest, int64(waited)); longest = l.longest.Load() {
	}
	now, logged := int64(g.Clock.Now()), l.loggedAt.Load()
	if logged != 0 && now-logged < int64(lateReadsInterval) || !l.loggedAt.CompareAndSwap(logged, now) {
		return
	}
	g.Events.Record(event.RequestsReadLate, "requests", l.requests.Swap(0), "longest_ms", time.Duration(l.longest.Swap(0)).Milliseconds())
}

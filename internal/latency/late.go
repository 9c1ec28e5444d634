package latency

import (
	"sync"
	"time"
)

// Late collects what took long, for a log line at most once in an interval. It is safe for concurrent use.
type Late struct {
	// Limit is the shortest latency that counts as long, Interval the shortest time between two lines.
	Limit, Interval time.Duration

	mu       sync.Mutex
	count    int
	longest  time.Duration
	loggedAt time.Duration
	logged   bool
}

// Add adds a latency, at a clock reading. If a line is due, it returns how many were long since the last one
// and the longest of them.
func (l *Late) Add(now, d time.Duration) (count int, longest time.Duration, due bool) {
	if d < l.Limit {
		return 0, 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	l.longest = max(l.longest, d)
	if l.logged && now-l.loggedAt < l.Interval {
		return 0, 0, false
	}
	count, longest = l.count, l.longest
	l.count, l.longest, l.loggedAt, l.logged = 0, 0, now, true
	return count, longest, true
}

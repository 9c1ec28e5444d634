package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// partWindow is the time constant with which requests with a part are forgotten.
	partWindow = time.Minute
	// maxParts bounds the tracker to under 2 MB, at 80 bytes an entry.
	maxParts = 20_000
)

// partTracker counts this node's recent requests by the part of a prompt that they share. It is safe for concurrent use.
type partTracker struct {
	mu     sync.Mutex
	counts map[string]partCount
}

// partCount is a decaying count as of a time.
type partCount struct {
	count float64
	at    time.Duration
}

func (c partCount) decayed(now time.Duration) float64 {
	return c.count * math.Exp(-max(0, now-c.at).Seconds()/partWindow.Seconds())
}

// observe counts a request with a part. A full tracker forgets all: what is popular is soon counted again.
func (t *partTracker) observe(part string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil || len(t.counts) >= maxParts {
		t.counts = make(map[string]partCount)
	}
	t.counts[part] = partCount{t.counts[part].decayed(now) + 1, now}
}

// count returns the recent requests with a part, older ones counting less.
func (t *partTracker) count(part string, now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[part].decayed(now)
}

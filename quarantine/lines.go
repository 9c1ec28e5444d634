package quarantine

import (
	"sync"
	"time"
)

// linesPerSecond bounds the log lines of one event on a node.
const linesPerSecond = 4

// lines bounds the log lines of one event and counts those that are left out. It is safe for concurrent use.
type lines struct {
	mu      sync.Mutex
	second  time.Time
	written int
	left    int
}

// next reports whether a line may be written now, and how many were left out since the last one.
func (l *lines) next(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	if l.written == linesPerSecond {
		l.left++
		return 0, false
	}
	l.written++
	leftOut, l.left = l.left, 0
	return leftOut, true
}

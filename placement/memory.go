package placement

import (
	"sync"
	"time"
)

// CacheTracker remembers which shared prompt parts this node sent to which engine. It is safe
// for concurrent use.
type CacheTracker struct {
	keep time.Duration

	mu   sync.Mutex
	seen map[held]time.Duration
}

type held struct {
	upstream string
	born     int64
	part     string
}

// maxHeld bounds the memory; at 80 bytes an entry it is under 2 MB.
const maxHeld = 20_000

// NewCacheTracker returns an empty memory that believes for keep.
func NewCacheTracker(keep time.Duration) *CacheTracker {
	return &CacheTracker{keep: keep, seen: make(map[held]time.Duration)}
}

// Observe notes that an engine has read the parts of a prompt.
func (m *CacheTracker) Observe(upstream string, born int64, parts []PromptPart, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.seen) > maxHeld {
		m.forget(now)
	}
	for _, p := range parts {
		m.seen[held{upstream, born, p.ID}] = now
	}
}

func (m *CacheTracker) forget(now time.Duration) {
	for h, at := range m.seen {
		if now-at > m.keep {
			delete(m.seen, h)
		}
	}
	if len(m.seen) > maxHeld {
		clear(m.seen)
	}
}

// Cached returns how many tokens of the leading parts an engine probably holds.
func (m *CacheTracker) Cached(upstream string, born int64, parts []PromptPart, now time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens := 0
	for _, p := range parts {
		at, ok := m.seen[held{upstream, born, p.ID}]
		if !ok || now-at > m.keep {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

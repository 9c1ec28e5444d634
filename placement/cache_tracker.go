package placement

import (
	"sync"
	"time"
)

// CacheTracker tracks which shared prompt parts this node sent to which engine, to estimate the
// engines' prompt caches. It is safe for concurrent use.
type CacheTracker struct {
	ttl time.Duration

	mu       sync.Mutex
	lastSent map[cacheKey]time.Duration
}

type cacheKey struct {
	upstream  string
	startedMS int64
	part      string
}

// maxCacheEntries bounds the tracker to under 2 MB, at 80 bytes an entry.
const maxCacheEntries = 20_000

// NewCacheTracker returns an empty tracker whose entries expire after ttl.
func NewCacheTracker(ttl time.Duration) *CacheTracker {
	return &CacheTracker{ttl: ttl, lastSent: make(map[cacheKey]time.Duration)}
}

// Observe records that an engine has prefilled the parts of a prompt.
func (t *CacheTracker) Observe(upstream string, startedMS int64, parts []PromptPart, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lastSent) > maxCacheEntries {
		t.evict(now)
	}
	for _, p := range parts {
		t.lastSent[cacheKey{upstream, startedMS, p.ID}] = now
	}
}

func (t *CacheTracker) evict(now time.Duration) {
	for key, sent := range t.lastSent {
		if now-sent > t.ttl {
			delete(t.lastSent, key)
		}
	}
	if len(t.lastSent) > maxCacheEntries {
		clear(t.lastSent)
	}
}

// Cached estimates how many tokens of the leading parts an engine has cached.
func (t *CacheTracker) Cached(upstream string, startedMS int64, parts []PromptPart, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := 0
	for _, p := range parts {
		sent, ok := t.lastSent[cacheKey{upstream, startedMS, p.ID}]
		if !ok || now-sent > t.ttl {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

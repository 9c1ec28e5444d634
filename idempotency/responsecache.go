package idempotency

// responseCache bounds the memory used by responses, evicting the oldest first.
type responseCache struct {
	maxBytes int
	bytes    int
	calls    []cachedCall
}

// cachedCall is a call with its size when it was added, since its response may be
// cleared while it is in the cache.
type cachedCall struct {
	entry *callEntry
	size  int
}

// add caches a call and returns the calls that it evicts.
func (c *responseCache) add(entry *callEntry) []*callEntry {
	c.calls = append(c.calls, cachedCall{entry, entry.size()})
	c.bytes += entry.size()
	var evicted []*callEntry
	for c.bytes > c.maxBytes && len(c.calls) > 1 {
		evicted = append(evicted, c.calls[0].entry)
		c.bytes -= c.calls[0].size
		c.calls = c.calls[1:]
	}
	return evicted
}

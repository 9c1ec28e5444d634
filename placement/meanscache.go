package placement

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// meansCacheTTL is how long the means of a service are kept: the reports that they are made of are older, and at 3,900 upstreams
// computing them takes longer than a request should.
const meansCacheTTL = 20 * time.Millisecond

// meansCache keeps the means of each service.
type meansCache struct {
	mu      sync.Mutex
	entries map[string]meansEntry
}

// meansEntry holds the means of a service, with what they were computed from.
type meansEntry struct {
	first *directory.Upstream
	count int
	at    time.Duration
	means *serviceMeans
}

// meansOf returns the means over a list of upstreams, which are of one service.
func (p *Picker) meansOf(r *Request, upstreams []*directory.Upstream) *serviceMeans {
	if len(upstreams) == 0 {
		return &serviceMeans{}
	}
	c := &p.means
	c.mu.Lock()
	defer c.mu.Unlock()
	first := upstreams[0]
	e, ok := c.entries[first.Service]
	if ok && e.first == first && e.count == len(upstreams) && r.Now >= e.at && r.Now-e.at < meansCacheTTL {
		return e.means
	}
	m := newServiceMeans(upstreams, r.Now)
	if c.entries == nil {
		c.entries = make(map[string]meansEntry)
	}
	c.entries[first.Service] = meansEntry{first, len(upstreams), r.Now, &m}
	return &m
}

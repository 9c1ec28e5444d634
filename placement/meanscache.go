package placement

import (
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// meansCacheTTL is how long the means of a service are kept: the reports that they are made of are older, and at 3,900 upstreams
// computing them takes longer than a request should.
const meansCacheTTL = 20 * time.Millisecond

// meansCache keeps the means of the lists of upstreams that requests are placed among: all of a service, or those that a
// request may use.
type meansCache struct {
	mu      sync.Mutex
	entries map[listKey]meansEntry
}

// listKey tells most lists of upstreams apart. Lists with the same key take each other's place.
type listKey struct {
	service     string
	first, last *directory.Upstream
	count       int
}

// meansEntry holds means with the list that they were computed from.
type meansEntry struct {
	upstreams []*directory.Upstream
	at        time.Duration
	means     *serviceMeans
}

// maxCachedLists bounds the lists whose means are kept.
const maxCachedLists = 64

// meansOf returns the means over a list of upstreams, which are of one service.
func (p *Picker) meansOf(r *Request, upstreams []*directory.Upstream) *serviceMeans {
	if len(upstreams) == 0 {
		return &serviceMeans{}
	}
	c := &p.means
	c.mu.Lock()
	defer c.mu.Unlock()
	key := listKey{upstreams[0].Service, upstreams[0], upstreams[len(upstreams)-1], len(upstreams)}
	e, ok := c.entries[key]
	if ok && r.Now >= e.at && r.Now-e.at < meansCacheTTL && slices.Equal(e.upstreams, upstreams) {
		return e.means
	}
	m := newServiceMeans(upstreams, r.Now)
	if c.entries == nil || len(c.entries) >= maxCachedLists {
		c.entries = make(map[listKey]meansEntry)
	}
	c.entries[key] = meansEntry{upstreams, r.Now, &m}
	return &m
}

package placement

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// fieldTTL is how long the means of a service are kept: the reports that they are made of are older, and at 3,900 upstreams
// computing them takes longer than a request should.
const fieldTTL = 20 * time.Millisecond

// fieldCache keeps the field of each service.
type fieldCache struct {
	mu      sync.Mutex
	entries map[string]fieldEntry
}

// fieldEntry is a field with what it was computed from.
type fieldEntry struct {
	first *directory.Upstream
	count int
	at    time.Duration
	field *field
}

// fieldOf returns the field of a list of upstreams, which are of one service.
func (p *Picker) fieldOf(r *Request, upstreams []*directory.Upstream) *field {
	if len(upstreams) == 0 {
		return &field{}
	}
	c := &p.fields
	c.mu.Lock()
	defer c.mu.Unlock()
	first := upstreams[0]
	e, ok := c.entries[first.Service]
	if ok && e.first == first && e.count == len(upstreams) && r.Now >= e.at && r.Now-e.at < fieldTTL {
		return e.field
	}
	f := newField(upstreams, r.Now)
	if c.entries == nil {
		c.entries = make(map[string]fieldEntry)
	}
	c.entries[first.Service] = fieldEntry{first, len(upstreams), r.Now, &f}
	return &f
}

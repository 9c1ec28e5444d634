package prepaid

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// leadMemory is how long a lead is reported after it was last seen: a report of a clock that was
	// ahead may be as old when the next incarnation reads it.
	leadMemory = 30 * time.Second
	// maxReportedLeads bounds the leads in a report. A clock that far more others are ahead of is
	// itself behind.
	maxReportedLeads = 32
)

// clockLeads tracks by how much other nodes' wall clocks are ahead of this instance's, from the
// timestamps in their records. Records arrive late, so a lead is at least what is seen. It is safe
// for concurrent use.
type clockLeads struct {
	mu    sync.Mutex
	leads map[string]clockLead
}

// clockLead is the largest lead seen, and when any was last seen, by the boot clock.
type clockLead struct{ lead, seenAt time.Duration }

// observe records the timestamp of another node's record.
func (c *clockLeads) observe(node string, wall time.Duration, now ClockReading) {
	lead := wall - now.Wall
	if lead <= maxClockSkew {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads == nil {
		c.leads = make(map[string]clockLead)
	}
	c.leads[node] = clockLead{max(lead, c.leads[node].lead), now.Boot}
}

// recent returns the leads seen lately, the largest if there are many, in milliseconds by node.
func (c *clockLeads) recent(now time.Duration) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.leads, func(_ string, l clockLead) bool { return now-l.seenAt > leadMemory })
	if len(c.leads) == 0 {
		return nil
	}
	nodes := slices.SortedFunc(maps.Keys(c.leads), func(x, y string) int {
		return cmp.Or(cmp.Compare(c.leads[y].lead, c.leads[x].lead), cmp.Compare(x, y))
	})
	recent := make(map[string]int64)
	for _, node := range nodes[:min(len(nodes), maxReportedLeads)] {
		recent[node] = c.leads[node].lead.Milliseconds()
	}
	return recent
}

package placement

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

const (
	// probeInterval is the least time between the last report of a service and a probe, and between two probes.
	probeInterval = 2 * time.Second
	// probeDivisor divides an engine's memory into the most tokens of a probe: the margin for other nodes' requests covers it.
	probeDivisor = 8
)

// probeTimes are the times of the last probes by service. It is safe for concurrent use.
type probeTimes struct {
	mu sync.Mutex
	at map[string]time.Duration
}

// take reports whether a probe is due, and records it.
func (t *probeTimes) take(service string, newest, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, probed := t.at[service]
	if now-newest < probeInterval || probed && now-last < probeInterval {
		return false
	}
	if t.at == nil {
		t.at = make(map[string]time.Duration)
	}
	t.at[service] = now
	return true
}

// probe picks an upstream at random that holds nothing of this node for a request that fits nowhere by old reports.
//
// It answers long prompts beyond the engines' memory: a node that sends none gets no reports. If old reports lapsed instead, all
// nodes would send again at the same time.
func (p *Picker) probe(r *Request, upstreams []*directory.Upstream, f *field) (PickResult, bool) {
	if r.KVCapacity <= 0 || !f.uneven || p.sizeAbove(r, upstreams[0].Service, r.KVCapacity/probeDivisor) || r.Now-f.newest < probeInterval {
		return PickResult{}, false
	}
	result := PickResult{}
	for _, u := range upstreams {
		if r.wasTried(u) || !u.Accepts(r.Now) || !u.HasRoom(r.Now) || u.InBackoff(r.Now) {
			continue
		}
		if u.HeldTokens() > 0 {
			continue
		}
		result.Candidates++
		if p.Random()*float64(result.Candidates) < 1 { // each of them with the same probability
			result.Upstream = u
		}
	}
	u := result.Upstream
	if u == nil || !p.probes.take(u.Service, f.newest, r.Now) {
		return PickResult{}, false
	}
	result.Uncached = r.PromptTokens
	result.MaxHeldTokens = r.KVCapacity
	return result, true
}

func (p *Picker) sizeAbove(r *Request, service string, limit int64) bool {
	return p.SizeOf(r, service) > limit
}

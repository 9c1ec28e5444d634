package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderpin.dev/lavenderpin/routing/prefix"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	loadPath        = "/v1/load"
	cacheEventsPath = "/v1/cache-events"
	// maxCachedBlocks is small so that engines evict blocks within a short run.
	maxCachedBlocks = 5
	hexBase         = 16
	hashBits        = 64
)

// CacheFaults are the faults injected into the cache events of all engines.
type CacheFaults struct {
	// Delay is how long after its occurrence an event becomes readable.
	Delay time.Duration
	// DropEvery drops every nth event for good; 0 disables it.
	DropEvery uint64
}

// engineCache is an engine's prefix cache and the events it published.
type engineCache struct {
	blocks   []uint64
	events   []cacheEvent
	sequence uint64
}

// cacheEvent is one event in the protocol of docs/PROTOCOLS.md.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
	Stored   bool   `json:"stored"`

	at time.Time
}

// insert caches a prompt's blocks and evicts the oldest ones beyond the cache's size.
func (c *engineCache) insert(hashes []uint64, at time.Time) {
	for _, hash := range hashes {
		if c.contains(hash) {
			continue
		}
		c.blocks = append(c.blocks, hash)
		c.appendEvent(hash, true, at)
	}
	for len(c.blocks) > maxCachedBlocks {
		c.appendEvent(c.blocks[0], false, at)
		c.blocks = c.blocks[1:]
	}
}

func (c *engineCache) contains(hash uint64) bool {
	for _, block := range c.blocks {
		if block == hash {
			return true
		}
	}
	return false
}

func (c *engineCache) appendEvent(hash uint64, stored bool, at time.Time) {
	c.sequence++
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Hash: strconv.FormatUint(hash, hexBase), Stored: stored, at: at})
}

// eventsAfter returns the events after a sequence number that are readable now, and whether
// a dropped event lies between them.
func (c *engineCache) eventsAfter(after uint64, faults CacheFaults, now time.Time) (events []cacheEvent, gap bool) {
	events = []cacheEvent{}
	for _, e := range c.events {
		switch {
		case e.Sequence <= after || now.Sub(e.at) < faults.Delay:
		case faults.DropEvery > 0 && e.Sequence%faults.DropEvery == 0:
			gap = true
		default:
			events = append(events, e)
		}
	}
	return events, gap && len(events) > 0
}

// SetCacheFaults replaces the faults injected into cache events.
func (u *Upstreams) SetCacheFaults(f CacheFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cacheFaults = f
}

// prefill inserts a prompt into an engine's cache. The caller holds u.mu.
func (u *Upstreams) prefill(engine string, messages []string) {
	var hasher prefix.Hasher
	for _, text := range messages {
		hasher.Write(text)
	}
	u.cacheOf(engine).insert(hasher.Hashes(), u.clock.Now())
}

func (u *Upstreams) cacheOf(engine string) *engineCache {
	if u.caches[engine] == nil {
		u.caches[engine] = &engineCache{}
	}
	return u.caches[engine]
}

// handleReport serves an engine's load or cache events to a node; steps are those that this
// read takes.
func (u *Upstreams) handleReport(engine string, r upstream.CallRequest) (response upstream.CallResponse, steps []Step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	path, query, _ := strings.Cut(r.Path, "?")
	if path == loadPath {
		return jsonResponse(map[string]int{"running": u.running(engine)}), nil
	}
	after, _ := strconv.ParseUint(strings.TrimPrefix(query, "after="), 10, hashBits)
	events, gap := u.cacheOf(engine).eventsAfter(after, u.cacheFaults, u.clock.Now())
	if len(events) > 0 {
		steps = append(steps, StepCacheEvent)
	}
	if gap {
		steps = append(steps, StepCacheGap)
	}
	return jsonResponse(map[string][]cacheEvent{"events": events}), steps
}

// running counts an engine's running requests. The caller holds u.mu.
func (u *Upstreams) running(engine string) int {
	count := 0
	for _, run := range u.runs {
		if run.Upstream == engine && !run.Finished && !run.Cancelled {
			count++
		}
	}
	return count
}

func jsonResponse(body any) upstream.CallResponse {
	data, _ := json.Marshal(body)
	return upstream.CallResponse{Status: http.StatusOK, Body: data}
}

func isReportPath(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	return path == loadPath || path == cacheEventsPath
}

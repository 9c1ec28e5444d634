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
	// cachedBlocks is so small that engines drop blocks within a short history.
	cachedBlocks = 5
	hexBase      = 16
	hashBits     = 64
)

// CacheFaults are what goes wrong with the cache events of all engines.
type CacheFaults struct {
	// Delay is how long after its event a node can read it.
	Delay time.Duration
	// DropEvery loses every nth event for good; 0 none.
	DropEvery uint64
}

// engineCache is the prefix cache of an engine, with the events it published.
type engineCache struct {
	order    []uint64
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

// hold notes a prompt's blocks and drops the oldest beyond the cache's size.
func (c *engineCache) hold(hashes []uint64, at time.Time) {
	for _, hash := range hashes {
		if c.holds(hash) {
			continue
		}
		c.order = append(c.order, hash)
		c.tell(hash, true, at)
	}
	for len(c.order) > cachedBlocks {
		c.tell(c.order[0], false, at)
		c.order = c.order[1:]
	}
}

func (c *engineCache) holds(hash uint64) bool {
	for _, held := range c.order {
		if held == hash {
			return true
		}
	}
	return false
}

func (c *engineCache) tell(hash uint64, stored bool, at time.Time) {
	c.sequence++
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Hash: strconv.FormatUint(hash, hexBase), Stored: stored, at: at})
}

// published returns the events after a sequence that can be read now, and whether a
// lost one lies between them.
func (c *engineCache) published(after uint64, faults CacheFaults, now time.Time) (events []cacheEvent, gap bool) {
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

// SetCacheFaults replaces what goes wrong with cache events.
func (u *Upstreams) SetCacheFaults(f CacheFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cacheFaults = f
}

// prefill puts a prompt into an engine's cache. The caller holds the lock.
func (u *Upstreams) prefill(engine string, messages []string) {
	var hasher prefix.Hasher
	for _, text := range messages {
		hasher.Write(text)
	}
	u.cacheOf(engine).hold(hasher.Hashes(), u.clock.Now())
}

func (u *Upstreams) cacheOf(engine string) *engineCache {
	if u.caches[engine] == nil {
		u.caches[engine] = &engineCache{}
	}
	return u.caches[engine]
}

// report answers a node that asks for an engine's load or cache events; told names
// the steps that this was.
func (u *Upstreams) report(engine string, r upstream.CallRequest) (answer upstream.CallResponse, told []Step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	path, query, _ := strings.Cut(r.Path, "?")
	if path == loadPath {
		return answerJSON(map[string]int{"running": u.running(engine)}), nil
	}
	after, _ := strconv.ParseUint(strings.TrimPrefix(query, "after="), 10, hashBits)
	events, gap := u.cacheOf(engine).published(after, u.cacheFaults, u.clock.Now())
	if len(events) > 0 {
		told = append(told, StepCacheEvent)
	}
	if gap {
		told = append(told, StepCacheGap)
	}
	return answerJSON(map[string][]cacheEvent{"events": events}), told
}

// running counts an engine's requests. The caller holds the lock.
func (u *Upstreams) running(engine string) int {
	count := 0
	for _, run := range u.runs {
		if run.Upstream == engine && !run.Finished && !run.Cancelled {
			count++
		}
	}
	return count
}

func answerJSON(body any) upstream.CallResponse {
	data, _ := json.Marshal(body)
	return upstream.CallResponse{Status: http.StatusOK, Body: data}
}

func isReport(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	return path == loadPath || path == cacheEventsPath
}

package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/routing/prefix"
)

const (
	// maxCacheEvents is how many cache events an engine keeps; readers that lag further
	// behind see a gap.
	maxCacheEvents = 4096
	// maxCachedBlocks is the capacity of the stand-in's prefix cache.
	maxCachedBlocks = 2048
)

// engineLoad tracks an engine's load and prefix cache. Reports lag behind: the load is
// sampled at most once per LoadSampleInterval.
type engineLoad struct {
	mu             sync.Mutex
	running        int
	sampledRunning int
	sampledWaiting int
	sampledAt      time.Time
	blocks         map[uint64]bool
	blockOrder     []uint64
	events         []engineCacheEvent
	sequence       uint64
}

// engineLoadReport and the types below belong to the published protocol; see
// docs/PROTOCOLS.md.
type engineLoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	PendingTokens int     `json:"pending_tokens"`
	MemoryUsed    float64 `json:"memory_used"`
	AgeMS         int64   `json:"age_ms"`
	// SoftwareVersion is the version of the engine's software.
	SoftwareVersion string `json:"software_version,omitempty"`
}

type engineCacheEvents struct {
	Events []engineCacheEvent `json:"events"`
}

type engineCacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
	Stored   bool   `json:"stored"`
}

func newEngineLoad() *engineLoad { return &engineLoad{blocks: map[uint64]bool{}} }

func (l *engineLoad) requestStarted(r *engineRequest) {
	var h prefix.Hasher
	for _, m := range r.Messages {
		h.Write(m.Content)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	for _, hash := range h.Hashes() {
		l.insertBlock(hash)
	}
}

func (l *engineLoad) requestEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

func (l *engineLoad) insertBlock(hash uint64) {
	if l.blocks[hash] {
		return
	}
	l.blocks[hash] = true
	l.blockOrder = append(l.blockOrder, hash)
	l.appendEvent(hash, true)
	if len(l.blockOrder) > maxCachedBlocks {
		oldest := l.blockOrder[0]
		l.blockOrder = l.blockOrder[1:]
		delete(l.blocks, oldest)
		l.appendEvent(oldest, false)
	}
}

func (l *engineLoad) appendEvent(hash uint64, stored bool) {
	l.sequence++
	l.events = append(l.events, engineCacheEvent{Sequence: l.sequence, Hash: strconv.FormatUint(hash, 16), Stored: stored})
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
}

// report returns the load at the latest sample.
func (l *engineLoad) report(now time.Time, interval time.Duration, waiting int) engineLoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.sampledAt) >= interval {
		l.sampledRunning, l.sampledWaiting, l.sampledAt = l.running, waiting, now
	}
	return engineLoadReport{Running: l.sampledRunning, Waiting: l.sampledWaiting, AgeMS: now.Sub(l.sampledAt).Milliseconds(),
		MemoryUsed: float64(len(l.blockOrder)) / maxCachedBlocks}
}

func (l *engineLoad) eventsAfter(sequence uint64) engineCacheEvents {
	l.mu.Lock()
	defer l.mu.Unlock()
	body := engineCacheEvents{Events: []engineCacheEvent{}}
	for _, e := range l.events {
		if e.Sequence > sequence {
			body.Events = append(body.Events, e)
		}
	}
	return body
}

func (e *Engine) serveLoad(_ context.Context, c *app.RequestContext) {
	report := e.load.report(time.Now(), e.options.LoadSampleInterval, e.queue.length())
	report.SoftwareVersion = e.options.Version
	e.writeJSON(c, report)
}

func (e *Engine) serveCacheEvents(_ context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil {
		c.String(400, "after isn't a number")
		return
	}
	e.writeJSON(c, e.load.eventsAfter(after))
}

func (e *Engine) writeJSON(c *app.RequestContext, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.String(500, err.Error())
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Data(200, "application/json", data)
}

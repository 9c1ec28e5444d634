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
	// keptEvents is how many cache events an engine keeps; readers that lag further
	// see a gap.
	keptEvents = 4096
	// cachedBlocks is the size of the stand-in's prefix cache.
	cachedBlocks = 2048
)

// engineLoad is what an engine says of its load and cache. Reports lag: the load is
// sampled at most once per lag.
type engineLoad struct {
	mu       sync.Mutex
	running  int
	sampled  int
	waiting  int
	at       time.Time
	blocks   map[uint64]bool
	order    []uint64
	events   []engineCacheEvent
	sequence uint64
}

// engineLoadReport and the types below are the published protocol; see
// docs/PROTOCOLS.md.
type engineLoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	PendingTokens int     `json:"pending_tokens"`
	MemoryUsed    float64 `json:"memory_used"`
	AgeMS         int64   `json:"age_ms"`
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

func (l *engineLoad) began(r *engineRequest) {
	var h prefix.Hasher
	for _, m := range r.Messages {
		h.Write(m.Content)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	for _, hash := range h.Hashes() {
		l.store(hash)
	}
}

func (l *engineLoad) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

func (l *engineLoad) store(hash uint64) {
	if l.blocks[hash] {
		return
	}
	l.blocks[hash] = true
	l.order = append(l.order, hash)
	l.tell(hash, true)
	if len(l.order) > cachedBlocks {
		oldest := l.order[0]
		l.order = l.order[1:]
		delete(l.blocks, oldest)
		l.tell(oldest, false)
	}
}

func (l *engineLoad) tell(hash uint64, stored bool) {
	l.sequence++
	l.events = append(l.events, engineCacheEvent{Sequence: l.sequence, Hash: strconv.FormatUint(hash, 16), Stored: stored})
	if len(l.events) > keptEvents {
		l.events = l.events[1:]
	}
}

// report returns the load as it was at the latest sample.
func (l *engineLoad) report(now time.Time, lag time.Duration, waiting int) engineLoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) >= lag {
		l.sampled, l.waiting, l.at = l.running, waiting, now
	}
	return engineLoadReport{Running: l.sampled, Waiting: l.waiting, AgeMS: now.Sub(l.at).Milliseconds(),
		MemoryUsed: float64(len(l.order)) / cachedBlocks}
}

func (l *engineLoad) after(sequence uint64) engineCacheEvents {
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

func (e *Engine) reportLoad(_ context.Context, c *app.RequestContext) {
	e.answer(c, e.load.report(time.Now(), e.options.LoadSampleInterval, e.queue.length()))
}

func (e *Engine) reportCacheEvents(_ context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil {
		c.String(400, "after isn't a number")
		return
	}
	e.answer(c, e.load.after(after))
}

func (e *Engine) answer(c *app.RequestContext, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.String(500, err.Error())
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Data(200, "application/json", data)
}

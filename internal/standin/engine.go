package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// EngineOptions configures the speed and the injected faults of an Engine.
type EngineOptions struct {
	// TokenTime is the interval between two tokens.
	TokenTime time.Duration
	// CutAfter ends each connection's stream after this many tokens without a terminal
	// marker; 0 disables it. The engine continues the request.
	CutAfter int
	// Cross makes every nth request answer under another id; 0 disables it.
	Cross int
	// IgnoreFencing makes the engine accept orders with an old fencing number.
	IgnoreFencing bool
	// Duplicate sends every nth chunk of a stream twice; 0 disables it.
	Duplicate int
	// Swap sends every nth chunk of a stream after the one that follows it; 0 disables it.
	Swap int
	// Forget makes the engine keep no stream for resuming.
	Forget bool
	// HangAfter makes the engine stop generating after this many tokens until the request is
	// cancelled; 0 disables it.
	HangAfter int

	// Slots is how many requests run at a time; others queue, the lowest priority number
	// first. 0 means unlimited.
	Slots int
	// LoadSampleInterval is the maximum age of the engine's load reports.
	LoadSampleInterval time.Duration
	// WordPrefix is prepended to each word, so that engines give different answers.
	WordPrefix string
	// Version, if not empty, is the version of the engine's software, which is in each response.
	Version string
}

const cancelPath = "/v1/cancel"

// hangPollInterval is how often a hanging engine checks whether the request was cancelled.
const hangPollInterval = time.Millisecond

// Engine is a stand-in model engine: it echoes the prompt's words.
type Engine struct {
	options   EngineOptions
	server    *server.Hertz
	requests  atomic.Int64
	resumes   atomic.Int64
	mu        sync.Mutex
	cancelled map[string]bool
	runs      map[string]int
	usages    map[string]engineUsage
	models    engineModels
	load      *engineLoad
	queue     *engineQueue
	streams   map[string]*engineStream
	shedding  Shedding
	leaving   Leaving
	// streamIDs lists the ids in streams, oldest first.
	streamIDs []string
}

// engineUsage is the engine's usage report for one request.
type engineUsage struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

// NewEngine returns an engine that serves on the listener once Run is called.
func NewEngine(listener net.Listener, options EngineOptions) *Engine {
	e := &Engine{options: options, cancelled: map[string]bool{}, runs: map[string]int{},
		usages: map[string]engineUsage{}, streams: map[string]*engineStream{}, load: newEngineLoad(),
		queue: &engineQueue{slots: options.Slots}}
	e.server = newServer(listener)
	e.server.Use(e.leaving.handle, e.shedding.handle, e.tellVersion)
	e.server.POST("/v1/chat/completions", e.serveChat)
	e.server.POST(cancelPath, e.serveCancel)
	e.server.GET("/v1/usage", e.serveUsage)
	e.server.GET("/v1/models", e.serveModels)
	e.server.POST("/v1/models", e.serveOrder)
	e.server.GET("/v1/streams/:id", e.serveStream)
	e.server.GET("/v1/load", e.serveLoad)
	e.server.GET("/v1/cache-events", e.serveCacheEvents)
	return e
}

// tellVersion adds the version to an answer.
func (e *Engine) tellVersion(_ context.Context, c *app.RequestContext) {
	if e.options.Version != "" {
		c.Header("X-Upstream-Version", e.options.Version)
	}
}

// Run serves until Close.
func (e *Engine) Run() error { return e.server.Run() }

// Close stops serving at once.
func (e *Engine) Close() { _ = e.server.Close() }

// Shedding returns the engine's refusals, which tests switch on and off.
func (e *Engine) Shedding() *Shedding { return &e.shedding }

// Leaving returns the engine's announcement that it is leaving, which tests switch on and off.
func (e *Engine) Leaving() *Leaving { return &e.leaving }

// Runs returns how many completions each request id got.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// Resumes returns how often a caller asked to resume a stream.
func (e *Engine) Resumes() int64 { return e.resumes.Load() }

type engineRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	// Priority: lower numbers run first, as in common engines.
	Priority int `json:"priority"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// words returns the answer: the prompt's words in order, at most max_tokens of them.
func (r *engineRequest) words() (answer []string, promptTokens int) {
	for _, m := range r.Messages {
		answer = append(answer, strings.Fields(m.Content)...)
	}
	promptTokens = len(answer)
	if r.MaxTokens > 0 && len(answer) > r.MaxTokens {
		answer = answer[:r.MaxTokens]
	}
	return answer, promptTokens
}

func (e *Engine) serveChat(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	var r engineRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		c.String(400, err.Error())
		return
	}
	n := e.requests.Add(1)
	stream := e.addStream(id)
	answerID := id
	if e.options.Cross > 0 && n%int64(e.options.Cross) == 0 {
		answerID = "crossed-" + id
	}
	go e.generate(id, answerID, &r, stream)
	e.sendStream(c, stream, 0)
}

func (e *Engine) addStream(id string) *engineStream {
	stream := newEngineStream()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.streams[id] = stream
	e.streamIDs = append(e.streamIDs, id)
	if len(e.streamIDs) > maxStreams {
		delete(e.streams, e.streamIDs[0])
		e.streamIDs = e.streamIDs[1:]
	}
	return stream
}

// generate writes the answer to the stream, one word per TokenTime.
func (e *Engine) generate(id, answerID string, r *engineRequest, stream *engineStream) {
	answer, promptTokens := r.words()
	if !e.awaitSlot(id, r.Priority) {
		e.recordUsage(id, "finished", 0, 0)
		stream.end(true)
		return
	}
	defer e.queue.release()
	e.load.requestStarted(r)
	defer e.load.requestEnded()
	e.recordUsage(id, "running", promptTokens, 0)
	for i, word := range answer {
		time.Sleep(e.options.TokenTime)
		for e.options.HangAfter > 0 && i >= e.options.HangAfter && !e.isCancelled(id) {
			time.Sleep(hangPollInterval)
		}
		if e.isCancelled(id) {
			e.recordUsage(id, "finished", promptTokens, i)
			stream.end(true)
			return
		}
		e.recordUsage(id, "running", promptTokens, i+1)
		stream.write(chunkJSON(answerID, r.Model, e.options.WordPrefix+word+" ", ""))
	}
	e.recordUsage(id, "finished", promptTokens, len(answer))
	stream.write(chunkJSON(answerID, r.Model, "", "stop"))
	stream.write(usageJSON(answerID, r.Model, promptTokens, len(answer)))
	stream.write([]byte("[DONE]"))
	stream.end(false)
}

// sendStream sends the events of a stream from a number on, with each event's number as its id.
func (e *Engine) sendStream(c *app.RequestContext, stream *engineStream, from int) {
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	sent := 0
	for {
		events, ended, changed := stream.read(from)
		for _, data := range events {
			if e.options.CutAfter > 0 && sent >= e.options.CutAfter {
				return
			}
			if e.writeEvent(w, stream, from, data) != nil {
				return
			}
			from++
			sent++
		}
		if ended && len(events) == 0 {
			return
		}
		if len(events) == 0 {
			<-changed
		}
	}
}

// writeEvent sends one event, with the faults that the options inject.
func (e *Engine) writeEvent(w *sse.Writer, stream *engineStream, number int, data []byte) error {
	if e.options.Swap > 0 && number%e.options.Swap == e.options.Swap-1 {
		if following := awaitEvent(stream, number+1); following != nil {
			if err := w.WriteEvent(strconv.Itoa(number+1), "", following); err != nil {
				return err
			}
		}
	}
	if e.options.Duplicate > 0 && number%e.options.Duplicate == 0 {
		if err := w.WriteEvent(strconv.Itoa(number), "", data); err != nil {
			return err
		}
	}
	return w.WriteEvent(strconv.Itoa(number), "", data)
}

// awaitEvent waits for one event of a stream; it returns nil if the stream ends before it.
func awaitEvent(stream *engineStream, number int) []byte {
	for {
		events, ended, changed := stream.read(number)
		if len(events) > 0 {
			return events[0]
		}
		if ended {
			return nil
		}
		<-changed
	}
}

// serveStream resumes a kept stream from a number on.
func (e *Engine) serveStream(_ context.Context, c *app.RequestContext) {
	e.resumes.Add(1)
	e.mu.Lock()
	stream := e.streams[c.Param("id")]
	e.mu.Unlock()
	from, err := strconv.Atoi(c.Query("from"))
	switch {
	case err != nil || from < 0:
		c.String(400, "from isn't a number")
	case stream == nil || e.options.Forget:
		c.String(404, "no such stream")
	case stream.cancelledBefore(from):
		c.String(410, "the request was cancelled")
	default:
		e.sendStream(c, stream, from)
	}
}

// serveUsage reports the usage of the request named in the header.
func (e *Engine) serveUsage(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	e.mu.Lock()
	usage, known := e.usages[id]
	e.mu.Unlock()
	if !known {
		usage.State = "unknown"
	}
	c.Header("X-Request-Id", id)
	c.JSON(200, usage)
}

func (e *Engine) recordUsage(id, state string, prompt, completion int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usages[id] = engineUsage{State: state, PromptTokens: prompt, CompletionTokens: completion}
}

func (e *Engine) serveCancel(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	e.mu.Lock()
	e.cancelled[id] = true
	e.mu.Unlock()
	e.queue.remove(id)
	c.Header("X-Request-Id", id)
	c.String(200, "cancelled")
}

func (e *Engine) isCancelled(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[id]
}

func chunkJSON(id, model, content, finish string) []byte {
	reason := "null"
	if finish != "" {
		reason = fmt.Sprintf("%q", finish)
	}
	text, _ := json.Marshal(content)
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`,
		id, model, text, reason)
}

func usageJSON(id, model string, prompt, completion int) []byte {
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		id, model, prompt, completion, prompt+completion)
}

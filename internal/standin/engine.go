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

// EngineOptions sets the pace and the faults of an Engine.
type EngineOptions struct {
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// CutAfter ends each connection's stream after so many tokens without a terminal
	// marker; 0 never. The engine goes on with the request.
	CutAfter int
	// Cross makes every nth request answer under another id; 0 never.
	Cross int
	// IgnoreFencing makes the engine take orders with an old fencing number.
	IgnoreFencing bool
	// Duplicate sends every nth chunk of a stream twice; 0 never.
	Duplicate int
	// Swap sends every nth chunk of a stream after the one that follows it; 0 never.
	Swap int
	// Forget makes the engine keep no stream for readers that come later.
	Forget bool
	// HangAfter makes the engine go silent after so many tokens; 0 never.
	HangAfter int

	// Slots is how many requests run at a time; others wait, the lowest priority number
	// first. 0 for no bound.
	Slots int
	// LoadSampleInterval is how old the engine's load reports get.
	LoadSampleInterval time.Duration
	// WordPrefix puts this text before each word, so that engines answer differently.
	WordPrefix string
}

// hangPoll is how often a hanging engine looks whether it was cancelled.
const hangPoll = time.Millisecond

// Engine is a stand-in model engine: it echoes the prompt's words.
type Engine struct {
	options   EngineOptions
	server    *server.Hertz
	requests  atomic.Int64
	resumed   atomic.Int64
	mu        sync.Mutex
	cancelled map[string]bool
	served    map[string]int
	counted   map[string]engineUsage
	models    engineModels
	load      *engineLoad
	queue     *engineQueue
	streams   map[string]*engineStream
	// streamIDs lists the streams kept, the oldest first.
	streamIDs []string
}

// engineUsage is what the engine answers about one request.
type engineUsage struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

// NewEngine returns an engine that serves on the listener once Run is called.
func NewEngine(listener net.Listener, options EngineOptions) *Engine {
	e := &Engine{options: options, cancelled: map[string]bool{}, served: map[string]int{},
		counted: map[string]engineUsage{}, streams: map[string]*engineStream{}, load: newEngineLoad(),
		queue: &engineQueue{slots: options.Slots}}
	e.server = newServer(listener)
	e.server.POST("/v1/chat/completions", e.chat)
	e.server.POST("/v1/cancel", e.cancel)
	e.server.GET("/v1/usage", e.usage)
	e.server.GET("/v1/models", e.reportModels)
	e.server.POST("/v1/models", e.order)
	e.server.GET("/v1/streams/:id", e.resume)
	e.server.GET("/v1/load", e.reportLoad)
	e.server.GET("/v1/cache-events", e.reportCacheEvents)
	return e
}

// Run serves until Close.
func (e *Engine) Run() error { return e.server.Run() }

// Close stops serving at once.
func (e *Engine) Close() { _ = e.server.Close() }

// Runs returns how many completions each request id was given.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	served := make(map[string]int, len(e.served))
	for id, n := range e.served {
		served[id] = n
	}
	return served
}

// Resumes returns how often the engine was asked for the rest of a stream.
func (e *Engine) Resumes() int64 { return e.resumed.Load() }

type engineRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	// Priority: lower goes first, as in common engines.
	Priority int `json:"priority"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// words returns the answer: the prompt's words in turn, max_tokens of them at most.
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

func (e *Engine) chat(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	var r engineRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		c.String(400, err.Error())
		return
	}
	n := e.requests.Add(1)
	stream := e.keep(id)
	answerID := id
	if e.options.Cross > 0 && n%int64(e.options.Cross) == 0 {
		answerID = "crossed-" + id
	}
	go e.generate(id, answerID, &r, stream)
	e.send(c, stream, 0)
}

func (e *Engine) keep(id string) *engineStream {
	stream := newEngineStream()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served[id]++
	e.streams[id] = stream
	e.streamIDs = append(e.streamIDs, id)
	if len(e.streamIDs) > keptStreams {
		delete(e.streams, e.streamIDs[0])
		e.streamIDs = e.streamIDs[1:]
	}
	return stream
}

// generate writes the answer into the stream, at the engine's pace.
func (e *Engine) generate(id, answerID string, r *engineRequest, stream *engineStream) {
	answer, promptTokens := r.words()
	if !e.awaitSlot(id, r.Priority) {
		e.count(id, "finished", 0, 0)
		stream.end(true)
		return
	}
	defer e.queue.leave()
	e.load.began(r)
	defer e.load.ended()
	e.count(id, "running", promptTokens, 0)
	for i, word := range answer {
		time.Sleep(e.options.TokenTime)
		for e.options.HangAfter > 0 && i >= e.options.HangAfter && !e.isCancelled(id) {
			time.Sleep(hangPoll)
		}
		if e.isCancelled(id) {
			e.count(id, "finished", promptTokens, i)
			stream.end(true)
			return
		}
		e.count(id, "running", promptTokens, i+1)
		stream.write(chunkJSON(answerID, r.Model, e.options.WordPrefix+word+" ", ""))
	}
	e.count(id, "finished", promptTokens, len(answer))
	stream.write(chunkJSON(answerID, r.Model, "", "stop"))
	stream.write(usageJSON(answerID, r.Model, promptTokens, len(answer)))
	stream.write([]byte("[DONE]"))
	stream.end(false)
}

// send passes a stream on from a number on, with each event's number as its id.
func (e *Engine) send(c *app.RequestContext, stream *engineStream, from int) {
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	sent := 0
	for {
		events, ended, grown := stream.read(from)
		for _, data := range events {
			if e.options.CutAfter > 0 && sent >= e.options.CutAfter {
				return
			}
			if e.write(w, stream, from, data) != nil {
				return
			}
			from++
			sent++
		}
		if ended && len(events) == 0 {
			return
		}
		if len(events) == 0 {
			<-grown
		}
	}
}

// write sends one event, with the faults that are switched on.
func (e *Engine) write(w *sse.Writer, stream *engineStream, number int, data []byte) error {
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

// awaitEvent returns one event of a stream, nil when the stream ends before it.
func awaitEvent(stream *engineStream, number int) []byte {
	for {
		events, ended, grown := stream.read(number)
		if len(events) > 0 {
			return events[0]
		}
		if ended {
			return nil
		}
		<-grown
	}
}

// resume sends a kept stream again from a number on.
func (e *Engine) resume(_ context.Context, c *app.RequestContext) {
	e.resumed.Add(1)
	e.mu.Lock()
	stream := e.streams[c.Param("id")]
	e.mu.Unlock()
	from, err := strconv.Atoi(c.Query("from"))
	switch {
	case err != nil || from < 0:
		c.String(400, "from isn't a number")
	case stream == nil || e.options.Forget:
		c.String(404, "no such stream")
	case stream.gone(from):
		c.String(410, "the request was cancelled")
	default:
		e.send(c, stream, from)
	}
}

// usage tells what the engine counted for the request named in the header.
func (e *Engine) usage(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	e.mu.Lock()
	counted, known := e.counted[id]
	e.mu.Unlock()
	if !known {
		counted.State = "unknown"
	}
	c.Header("X-Request-Id", id)
	c.JSON(200, counted)
}

func (e *Engine) count(id, state string, prompt, completion int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counted[id] = engineUsage{State: state, PromptTokens: prompt, CompletionTokens: completion}
}

func (e *Engine) cancel(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	e.mu.Lock()
	e.cancelled[id] = true
	e.mu.Unlock()
	e.queue.drop(id)
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

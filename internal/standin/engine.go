package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
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
	// CutAfter ends each stream after so many tokens without a terminal marker; 0 never.
	CutAfter int
	// Cross makes every nth request answer under another id; 0 never.
	Cross int
	// IgnoreFencing makes the engine take orders with an old fencing number.
	IgnoreFencing bool
}

// Engine is a stand-in model engine: it echoes the prompt's words.
type Engine struct {
	options   EngineOptions
	server    *server.Hertz
	requests  atomic.Int64
	mu        sync.Mutex
	cancelled map[string]bool
	served    map[string]int
	counted   map[string]engineUsage
	models    engineModels
}

// engineUsage is what the engine answers about one request.
type engineUsage struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

// NewEngine returns an engine that serves on the listener once Run is called.
func NewEngine(listener net.Listener, options EngineOptions) *Engine {
	e := &Engine{options: options, cancelled: map[string]bool{}, served: map[string]int{}, counted: map[string]engineUsage{}}
	e.server = newServer(listener)
	e.server.POST("/v1/chat/completions", e.chat)
	e.server.POST("/v1/cancel", e.cancel)
	e.server.GET("/v1/usage", e.usage)
	e.server.GET("/v1/models", e.reportModels)
	e.server.POST("/v1/models", e.order)
	return e
}

// Run serves until Close.
func (e *Engine) Run() error { return e.server.Run() }

// Close stops serving at once.
func (e *Engine) Close() { _ = e.server.Close() }

// Served returns how many completions each request id was given.
func (e *Engine) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	served := make(map[string]int, len(e.served))
	for id, n := range e.served {
		served[id] = n
	}
	return served
}

type engineRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
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

func (e *Engine) chat(ctx context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("X-Request-Id"))
	var r engineRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		c.String(400, err.Error())
		return
	}
	n := e.requests.Add(1)
	e.mu.Lock()
	e.served[id]++
	e.mu.Unlock()
	answerID := id
	if e.options.Cross > 0 && n%int64(e.options.Cross) == 0 {
		answerID = "crossed-" + id
	}
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	answer, promptTokens := r.words()
	sent := 0
	e.count(id, "running", promptTokens, sent)
	for _, word := range answer {
		if e.isCancelled(id) {
			break
		}
		if e.options.CutAfter > 0 && sent >= e.options.CutAfter {
			return
		}
		time.Sleep(e.options.TokenTime)
		if w.WriteEvent("", "", chunkJSON(answerID, r.Model, word+" ", "")) != nil {
			return
		}
		sent++
		e.count(id, "running", promptTokens, sent)
	}
	e.count(id, "finished", promptTokens, sent)
	_ = w.WriteEvent("", "", chunkJSON(answerID, r.Model, "", "stop"))
	_ = w.WriteEvent("", "", usageJSON(answerID, r.Model, promptTokens, sent))
	_ = w.WriteEvent("", "", []byte("[DONE]"))
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

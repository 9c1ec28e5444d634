package upstream

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// ChatRequest is one completion asked of an engine.
type ChatRequest struct {
	// ID is echoed by the engine with every chunk.
	ID string
	// Body is the OpenAI-style request body, with streaming and usage switched on.
	Body []byte
	// NotAfter is when the node's right to have the request run ends; zero for never.
	// An upstream that checks it refuses a request that arrives later.
	NotAfter time.Time
}

// ChatStream is an answer in progress. Close must be called once.
type ChatStream interface {
	// Next returns the next chunk; io.EOF after an answer that ended whole.
	Next() (Chunk, error)
	Close()
}

// Chunk is one piece of an answer.
type Chunk struct {
	// Number of the chunk within the engine's stream, from 0.
	Number uint64
	// Data is the chunk as the engine sent it.
	Data []byte
	// Content is the text within.
	Content string
	// FinishReason is set on the last chunk with content.
	FinishReason string
	// Usage is set on the chunk that reports it.
	Usage *Usage
}

// Usage is what an engine counted for one request, in tokens.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Total returns prompt and completion together.
func (u Usage) Total() uint64 { return u.PromptTokens + u.CompletionTokens }

// UsageState is what an engine knows of a request.
type UsageState string

// The states of a request at an engine.
const (
	// UsageUnknown: the engine never saw the request, or has forgotten it.
	UsageUnknown  UsageState = "unknown"
	UsageRunning  UsageState = "running"
	UsageFinished UsageState = "finished"
)

// UsageReport is an engine's answer about one request.
type UsageReport struct {
	State UsageState `json:"state"`
	Usage
}

// CallRequest is one call of a plain service.
type CallRequest struct {
	ID      string
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	// NoResend is set for a call that must not be sent twice.
	NoResend bool
	// NotAfter is as in ChatRequest.
	NotAfter time.Time
}

// CallResponse is a plain service's whole answer.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client asks upstreams. Errors are result errors: NoUpstream when nothing was
// sent, RequestExpired when the upstream refused it as too late, UpstreamFailed or
// OutcomeUnknown when something may have run.
type Client interface {
	Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error)
	Call(ctx context.Context, to *operatorv1.Upstream, r CallRequest) (CallResponse, error)
	// Usage asks an engine what it counted for a request, after the node that ran
	// it died. An engine remembers finished requests for a while.
	Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error)
	// Cancel tells an engine to stop a request.
	Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error
}

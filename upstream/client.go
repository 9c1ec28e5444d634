package upstream

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// ChatRequest is a completion request to an engine.
type ChatRequest struct {
	// ID is echoed by the engine with every chunk.
	ID string
	// Body is the OpenAI-style request body, with streaming and usage enabled.
	Body []byte
	// NotAfter is when the node's right to have the request run ends; zero for never. An
	// upstream that checks it refuses a request that arrives later.
	NotAfter time.Time
}

// ChatStream is a response in progress. Close must be called once.
type ChatStream interface {
	// Next returns the next chunk, or io.EOF after a complete response.
	Next() (Chunk, error)
	// Version returns the version of the software of the upstream that sends the response; empty if it
	// reports none.
	Version() string
	Close()
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Number is the chunk's position in the engine's stream, from 0.
	Number uint64
	// Data is the chunk as sent by the engine.
	Data []byte
	// Content is the text in the chunk.
	Content string
	// FinishReason is set on the last chunk with content.
	FinishReason string
	// Usage is set on the chunk that reports it.
	Usage *Usage
	// hasChoices is set if the chunk is a part of the answer and not just its usage.
	hasChoices bool
	// numbering tells whether the engine numbered the chunk.
	numbering numbering
}

// isEnd reports whether the chunk is the terminal marker.
func (c Chunk) isEnd() bool { return string(c.Data) == doneMarker }

// Usage is an engine's token count for one request.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Total returns the sum of prompt and completion tokens.
func (u Usage) Total() uint64 { return u.PromptTokens + u.CompletionTokens }

// UsageState is the state of a request as known to an engine.
type UsageState string

// The states of a request at an engine.
const (
	// UsageUnknown means that the engine never received the request, or no longer remembers it.
	UsageUnknown  UsageState = "unknown"
	UsageRunning  UsageState = "running"
	UsageFinished UsageState = "finished"
)

// UsageReport is an engine's state and token count of one request.
type UsageReport struct {
	State UsageState `json:"state"`
	Usage
}

// CallRequest is a call to a plain service.
type CallRequest struct {
	ID      string
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
	// NoResend is set for a call that must not be sent twice.
	NoResend bool
	// NotAfter has the same meaning as in ChatRequest.
	NotAfter time.Time
}

// CallResponse is a plain service's complete response.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends requests to upstreams. Errors are result errors: NoUpstream if nothing was sent,
// RequestExpired if the upstream refused the request as too late, UpstreamFailed or
// OutcomeUnknown if it may have run.
type Client interface {
	Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error)
	Call(ctx context.Context, to *operatorv1.Upstream, r CallRequest) (CallResponse, error)
	// Usage asks an engine for its token count of a request after the node that ran it has
	// died. An engine remembers finished requests for a while.
	Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error)
	// Cancel tells an engine to stop a request.
	Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error
}

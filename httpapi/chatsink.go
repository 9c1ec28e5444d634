package httpapi

import (
	"encoding/json"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// chatSink writes an answer to the caller: as events, or collected into one body.
type chatSink struct {
	c      *app.RequestContext
	stream bool

	id           budget.RequestID
	model        string
	writer       *sse.Writer
	text         strings.Builder
	finishReason string
	usage        upstream.Usage
}

func newChatSink(c *app.RequestContext, stream bool) *chatSink {
	return &chatSink{c: c, stream: stream}
}

func wantsStream(body []byte) bool {
	var options struct {
		Stream bool `json:"stream"`
	}
	return json.Unmarshal(body, &options) == nil && options.Stream
}

// Start implements request.Sink.
func (s *chatSink) Start(id budget.RequestID, model string) {
	s.id, s.model = id, model
	s.c.Header(headerRequestID, id.String())
	if s.stream {
		s.writer = sse.NewWriter(s.c)
	}
}

// Streams implements request.Sink.
func (s *chatSink) Streams() bool { return s.stream }

// Restart implements request.Sink.
func (s *chatSink) Restart() {
	s.text.Reset()
	s.finishReason, s.usage = "", upstream.Usage{}
}

// Chunk implements request.Sink.
func (s *chatSink) Chunk(cursor string, chunk upstream.Chunk) error {
	if s.stream {
		return s.writer.WriteEvent(cursor, "", chunk.Data)
	}
	s.text.WriteString(chunk.Content)
	if chunk.FinishReason != "" {
		s.finishReason = chunk.FinishReason
	}
	if chunk.Usage != nil {
		s.usage = *chunk.Usage
	}
	return nil
}

// finish ends the answer. A stream that fails after it began ends with an event of type
// "error". Only a complete stream ends with the terminal marker, so a caller can't mistake a
// truncated stream for a complete one.
func (s *chatSink) finish(err error) {
	switch {
	case err != nil && s.writer == nil:
		writeError(s.c, err)
	case err != nil:
		data, _ := json.Marshal(newErrorResponse(err))
		_ = s.writer.WriteEvent("", "error", data)
		_ = s.writer.Close()
	case s.stream:
		_ = s.writer.WriteEvent("", "", []byte("[DONE]"))
		_ = s.writer.Close()
	default:
		s.c.JSON(200, s.completion())
	}
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	upstream.Usage
	TotalTokens uint64 `json:"total_tokens"`
}

func (s *chatSink) completion() completion {
	return completion{
		ID: s.id.String(), Object: "chat.completion", Model: s.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: s.finishReason,
		}},
		Usage: completionUsage{Usage: s.usage, TotalTokens: s.usage.Total()},
	}
}

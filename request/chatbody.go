package request

import (
	"encoding/json"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// MaxBody bounds a caller's request body, in bytes.
	MaxBody = 4 << 20
	// defaultAnswerTokens is the limit of an answer whose caller names none.
	defaultAnswerTokens = 512
	// serviceAnswerTokens is the limit of a service that declares none.
	serviceAnswerTokens = 4096
	// tokensPerMessage covers what an engine's template adds to each message.
	tokensPerMessage = 8
)

// chatBody is the part of a completion request that the router reads.
type chatBody struct {
	Model     string        `json:"model"`
	MaxTokens *int64        `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Content string `json:"content"`
}

// parseChat reads a body and returns it with the fields that must be passed on,
// as they were.
func parseChat(body []byte) (chatBody, map[string]json.RawMessage, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, nil, result.New(result.MalformedRequest, "the body isn't a completion request: %v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return parsed, nil, result.New(result.MalformedRequest, "the body isn't a JSON object: %v", err)
	}
	if parsed.Model == "" {
		return parsed, nil, result.New(result.MalformedRequest, "model is missing")
	}
	if len(parsed.Messages) == 0 {
		return parsed, nil, result.New(result.MalformedRequest, "messages is empty")
	}
	return parsed, fields, nil
}

// answerLimit returns the most tokens that the answer may have.
func (b chatBody) answerLimit(serviceLimit uint32) (uint64, error) {
	limit := uint64(serviceLimit)
	if limit == 0 {
		limit = serviceAnswerTokens
	}
	if b.MaxTokens == nil {
		return min(defaultAnswerTokens, limit), nil
	}
	if *b.MaxTokens < 1 || uint64(*b.MaxTokens) > limit {
		return 0, result.New(result.TokensOutOfRange, "max_tokens is %d; this service takes 1 to %d", *b.MaxTokens, limit)
	}
	return uint64(*b.MaxTokens), nil
}

// promptBound returns a number of tokens that the prompt can't exceed: every
// token stands for at least one byte.
func (b chatBody) promptBound() uint64 {
	bound := uint64(0)
	for _, m := range b.Messages {
		bound += uint64(len(m.Content)) + tokensPerMessage
	}
	return bound
}

// engineBody returns the body for the engine: always streamed, with usage, and
// with the answer's limit named.
func engineBody(fields map[string]json.RawMessage, limit uint64) ([]byte, error) {
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	encoded, err := json.Marshal(limit)
	if err != nil {
		return nil, err
	}
	fields["max_tokens"] = encoded
	return json.Marshal(fields)
}

package request

import (
	"bytes"
	"encoding/json"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody = 4 << 20
	// defaultAnswerTokens is the answer limit if the caller sets none.
	defaultAnswerTokens = 512
	// defaultServiceAnswerLimit is the answer limit of a service that declares none.
	defaultServiceAnswerLimit = 4096
)

// The fields of a completion request that the router reads or sets.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldChoices             = "n"
	fieldBestOf              = "best_of"
	fieldStreamOptions       = "stream_options"
	fieldPriority            = "priority"
)

// chatBody is a parsed completion request.
type chatBody struct {
	Model string
	// Stream is set if the caller wants an event stream.
	Stream bool

	// fields are forwarded unchanged. Names are matched exactly: encoding/json would also
	// match "Max_Tokens", which an engine does not.
	fields       map[string]json.RawMessage
	messages     []json.RawMessage
	promptTokens uint64
	// priority is the requested priority; nil if the caller sets none.
	priority *int64
}

// parseChat parses a body. It rejects a body whose tokens can't be bounded.
func parseChat(body []byte) (*chatBody, error) {
	if err := validateJSON(body); err != nil {
		return nil, err
	}
	b := &chatBody{}
	if json.Unmarshal(body, &b.fields) != nil || b.fields == nil {
		return nil, result.New(result.MalformedRequest, "the body isn't a JSON object")
	}
	for _, read := range []func() error{b.readModel, b.readStream, b.readChoices, b.readPriority, b.readMessages} {
		if err := read(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *chatBody) readModel() error {
	raw, given := b.fields[fieldModel]
	if !given {
		return result.New(result.MalformedRequest, "model is missing")
	}
	if json.Unmarshal(raw, &b.Model) != nil || b.Model == "" {
		return result.New(result.MalformedRequest, "model isn't a name")
	}
	return nil
}

func (b *chatBody) readStream() error {
	raw, given := b.fields[fieldStream]
	if given && json.Unmarshal(raw, &b.Stream) != nil {
		return result.New(result.MalformedRequest, "stream is neither true nor false")
	}
	return nil
}

// readChoices rejects requests for several answers: each would cost max_tokens, and only
// one is reserved and delivered.
func (b *chatBody) readChoices() error {
	for _, name := range []string{fieldChoices, fieldBestOf} {
		raw, given := b.fields[name]
		if !given || isNull(raw) {
			continue
		}
		var count int64
		if json.Unmarshal(raw, &count) != nil || count != 1 {
			return result.New(result.MalformedRequest, "%s must be 1", name)
		}
	}
	return nil
}

func (b *chatBody) readMessages() error {
	raw, given := b.fields[fieldMessages]
	if given && json.Unmarshal(raw, &b.messages) != nil {
		return result.New(result.MalformedRequest, "messages isn't an array")
	}
	if len(b.messages) == 0 {
		return result.New(result.MalformedRequest, "messages is missing or empty")
	}
	for i, message := range b.messages {
		bound, err := messageBound(message, i)
		if err != nil {
			return err
		}
		b.promptTokens += bound
	}
	b.addOtherFieldsBound()
	return nil
}

// addOtherFieldsBound counts the other fields that an engine may put into the prompt: tools,
// response formats, and anything a later engine reads. Plain numbers and booleans are too
// small to count.
func (b *chatBody) addOtherFieldsBound() {
	for name, value := range b.fields {
		isText := len(value) > 0 && bytes.IndexByte([]byte(`{["`), value[0]) >= 0
		if isText && name != fieldMessages && name != fieldModel && name != fieldStreamOptions {
			b.promptTokens += uint64(len(value))
		}
	}
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// answerLimit returns the maximum number of answer tokens.
func (b *chatBody) answerLimit(serviceLimit uint32) (uint64, error) {
	limit := uint64(serviceLimit)
	if limit == 0 {
		limit = defaultServiceAnswerLimit
	}
	requested, err := b.requestedTokens()
	if err != nil {
		return 0, err
	}
	if requested == nil {
		return min(defaultAnswerTokens, limit), nil
	}
	if *requested < 1 || uint64(*requested) > limit {
		return 0, result.New(result.TokensOutOfRange, "max_tokens is %d; this service takes 1 to %d", *requested, limit)
	}
	return uint64(*requested), nil
}

// requestedTokens reads the answer limit under either of its names; nil if neither is set.
func (b *chatBody) requestedTokens() (*int64, error) {
	var requested *int64
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		raw, given := b.fields[name]
		if !given || isNull(raw) {
			continue
		}
		var tokens int64
		if json.Unmarshal(raw, &tokens) != nil {
			return nil, result.New(result.TokensOutOfRange, "%s isn't a whole number", name)
		}
		if requested != nil && *requested != tokens {
			return nil, result.New(result.TokensOutOfRange, "max_tokens and max_completion_tokens differ")
		}
		requested = &tokens
	}
	return requested, nil
}

// promptBound returns an upper bound on the prompt's tokens.
func (b *chatBody) promptBound() uint64 { return b.promptTokens }

// encodeForEngine returns the body for the engine: always streamed, with usage, and with
// the answer limit set under one name only.
func (b *chatBody) encodeForEngine(limit uint64) ([]byte, error) {
	b.fields[fieldStream] = json.RawMessage("true")
	b.fields[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	encoded, err := json.Marshal(limit)
	if err != nil {
		return nil, err
	}
	b.fields[fieldMaxTokens] = encoded
	delete(b.fields, fieldMaxCompletionTokens)
	return json.Marshal(b.fields)
}

package request

import (
	"bytes"
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
)

// The fields of a completion request that the router reads or sets.
const (
	fieldModel         = "model"
	fieldMessages      = "messages"
	fieldStream        = "stream"
	fieldMaxTokens     = "max_tokens"
	fieldMaxCompletion = "max_completion_tokens"
	fieldChoices       = "n"
	fieldBestOf        = "best_of"
	fieldStreamOptions = "stream_options"
	fieldPriority      = "priority"
)

// chatBody is a completion request as the router understands it.
type chatBody struct {
	Model string
	// Stream is set when the caller wants events.
	Stream bool

	// fields are passed on as they came. Names are matched exactly: the JSON package
	// would also match "Max_Tokens", which an engine doesn't.
	fields   map[string]json.RawMessage
	messages []json.RawMessage
	bound    uint64
	// priority is what the caller asks for; nil when it names none.
	priority *int64
}

// parseChat reads a body. It refuses what it can't bound in tokens.
func parseChat(body []byte) (*chatBody, error) {
	if err := checkJSON(body); err != nil {
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

// readChoices refuses several answers to one request: each would cost max_tokens,
// and only one is reserved and passed on.
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
		b.bound += bound
	}
	b.boundOtherFields()
	return nil
}

// boundOtherFields adds what else an engine may put into the prompt: tools, response
// formats, and whatever a later engine reads. Plain numbers and switches are not
// worth counting.
func (b *chatBody) boundOtherFields() {
	for name, value := range b.fields {
		isText := len(value) > 0 && bytes.IndexByte([]byte(`{["`), value[0]) >= 0
		if isText && name != fieldMessages && name != fieldModel && name != fieldStreamOptions {
			b.bound += uint64(len(value))
		}
	}
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// answerLimit returns the most tokens that the answer may have.
func (b *chatBody) answerLimit(serviceLimit uint32) (uint64, error) {
	limit := uint64(serviceLimit)
	if limit == 0 {
		limit = serviceAnswerTokens
	}
	asked, err := b.askedTokens()
	if err != nil {
		return 0, err
	}
	if asked == nil {
		return min(defaultAnswerTokens, limit), nil
	}
	if *asked < 1 || uint64(*asked) > limit {
		return 0, result.New(result.TokensOutOfRange, "max_tokens is %d; this service takes 1 to %d", *asked, limit)
	}
	return uint64(*asked), nil
}

// askedTokens reads the limit under either of its names; nil when none is given.
func (b *chatBody) askedTokens() (*int64, error) {
	var asked *int64
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletion} {
		raw, given := b.fields[name]
		if !given || isNull(raw) {
			continue
		}
		var tokens int64
		if json.Unmarshal(raw, &tokens) != nil {
			return nil, result.New(result.TokensOutOfRange, "%s isn't a whole number", name)
		}
		if asked != nil && *asked != tokens {
			return nil, result.New(result.TokensOutOfRange, "max_tokens and max_completion_tokens differ")
		}
		asked = &tokens
	}
	return asked, nil
}

// promptBound returns a number of tokens that the prompt can't exceed.
func (b *chatBody) promptBound() uint64 { return b.bound }

// forEngine returns the body for the engine: always streamed, with usage, and with
// the answer's limit named once.
func (b *chatBody) forEngine(limit uint64) ([]byte, error) {
	b.fields[fieldStream] = json.RawMessage("true")
	b.fields[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	encoded, err := json.Marshal(limit)
	if err != nil {
		return nil, err
	}
	b.fields[fieldMaxTokens] = encoded
	delete(b.fields, fieldMaxCompletion)
	return json.Marshal(b.fields)
}

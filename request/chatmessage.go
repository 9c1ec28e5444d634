package request

import (
	"encoding/json"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// tokensPerMessage covers what an engine's template adds to each message.
	tokensPerMessage = 8
	textPart         = "text"
)

// messageBound returns a number of tokens that one message can't exceed: every token
// stands for at least one byte of its text, or of any other field it has.
func messageBound(raw json.RawMessage, at int) (uint64, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil || fields == nil {
		return 0, result.New(result.MalformedRequest, "messages[%d] isn't an object", at)
	}
	bound := uint64(tokensPerMessage)
	for name, value := range fields {
		if name != "content" {
			bound += uint64(len(value))
			continue
		}
		content, err := contentBound(value, at)
		if err != nil {
			return 0, err
		}
		bound += content
	}
	return bound, nil
}

// contentPart is one part of a message whose content is an array.
type contentPart struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// contentBound reads a content: a string, an array of text parts, or null beside
// tool calls.
func contentBound(raw json.RawMessage, at int) (uint64, error) {
	var text *string
	if json.Unmarshal(raw, &text) == nil {
		if text == nil {
			return 0, nil
		}
		return uint64(len(*text)), nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return 0, result.New(result.MalformedRequest, "messages[%d].content is neither a string nor an array of parts", at)
	}
	for i, part := range parts {
		// A picture's tokens have no bound in bytes, so it can't be covered.
		if part.Type != textPart || part.Text == nil {
			return 0, result.New(result.MalformedRequest, "messages[%d].content[%d] isn't a text part", at, i)
		}
	}
	return uint64(len(raw)), nil
}

package request

import (
	"encoding/json"

	"lavenderpin.dev/lavenderpin/result"
)

const (
	// tokensPerMessage covers what an engine's chat template adds to each message.
	tokensPerMessage = 8
	textPartType     = "text"
)

// messageBound returns an upper bound on one message's tokens: every token stands for at
// least one byte of the message's text or of its other fields.
func messageBound(raw json.RawMessage, index int) (uint64, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil || fields == nil {
		return 0, result.New(result.MalformedRequest, "messages[%d] isn't an object", index)
	}
	bound := uint64(tokensPerMessage)
	for name, value := range fields {
		if name != "content" {
			bound += uint64(len(value))
			continue
		}
		content, err := contentBound(value, index)
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

// contentBound returns the bound of a content: a string, an array of text parts, or null
// beside tool calls.
func contentBound(raw json.RawMessage, index int) (uint64, error) {
	var text *string
	if json.Unmarshal(raw, &text) == nil {
		if text == nil {
			return 0, nil
		}
		return uint64(len(*text)), nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return 0, result.New(result.MalformedRequest, "messages[%d].content is neither a string nor an array of parts", index)
	}
	for i, part := range parts {
		// The tokens of an image have no bound in bytes, so they can't be reserved.
		if part.Type != textPartType || part.Text == nil {
			return 0, result.New(result.MalformedRequest, "messages[%d].content[%d] isn't a text part", index, i)
		}
	}
	return uint64(len(raw)), nil
}

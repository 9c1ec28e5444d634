package request

import (
	"encoding/json"
	"strings"

	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/routing/prefix"
)

// describe names the blocks of a prompt, so that it can go where they are cached. The
// prompt's text is the contents of its messages, one after the other.
func (b *chatBody) describe(ask *routing.Ask) {
	var text prefix.Hasher
	for _, raw := range b.messages {
		text.Write(messageText(raw))
	}
	ask.Prefix = text.Hashes()
}

// messageText returns a message's content, the text parts of an array joined.
func messageText(raw json.RawMessage) string {
	var message struct {
		Content json.RawMessage `json:"content"`
	}
	var text string
	if json.Unmarshal(raw, &message) != nil || json.Unmarshal(message.Content, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(message.Content, &parts) != nil {
		return ""
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Text != nil {
			joined.WriteString(*part.Text)
		}
	}
	return joined.String()
}

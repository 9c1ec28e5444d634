package request

import (
	"context"
	"encoding/json"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/routing/prefix"
)

// ask describes the run to the picker.
func (r *chatRun) ask(tried map[string]bool) routing.Request {
	ask := r.prompt
	ask.Tried = tried
	return ask
}

// askOf describes a request of an account to admission and routing.
func (s *Server) askOf(ctx context.Context, account *operatorv1.Account, service *operatorv1.Service) routing.Request {
	ask := routing.Request{Service: service.GetName(), Region: s.Region,
		Account: account.GetName(), Team: account.GetTeam(), Weight: account.GetWeight(), Priority: int(account.GetPriority())}
	ask.Deadline, _ = ctx.Deadline()
	return ask
}

// describe fills in what the choice of an engine needs to know of a prompt. The
// prompt's text is the contents of its messages, one after the other.
func (b *chatBody) describe(ask *routing.Request) {
	var text prefix.Hasher
	for _, raw := range b.messages {
		text.Write(messageText(raw))
	}
	ask.Prefix = text.Hashes()
	ask.PromptTokens = text.Tokens()
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

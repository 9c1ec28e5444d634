package request

import (
	"context"
	"encoding/json"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/routing/prefix"
)

// newRoutingRequest returns the admission and routing input for a request of an account.
func (s *Server) newRoutingRequest(ctx context.Context, account *operatorv1.Account, service *operatorv1.Service) routing.Request {
	params := routing.Request{Service: service.GetName(), Region: s.Region,
		Account: account.GetName(), Team: account.GetTeam(), Weight: account.GetWeight(), Priority: int(account.GetPriority())}
	params.Deadline, _ = ctx.Deadline()
	return params
}

// describePrompt adds the prompt's prefix hashes and token estimate to params. The prompt
// text is the contents of all messages, concatenated.
func (b *chatBody) describePrompt(params *routing.Request) {
	var text prefix.Hasher
	for _, raw := range b.messages {
		text.Write(messageText(raw))
	}
	params.Prefix = text.Hashes()
	params.PromptTokens = text.Tokens()
}

// messageText returns a message's content; the text parts of an array are concatenated.
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

package queuedelay

import (
	"context"
	"io"
	"net/http"

	"lavenderpin.dev/lavenderpin/httpwire"
)

const (
	// Path is the URL path at which a node answers an exchange.
	Path = "/exchange"
	// maxReplyBytes bounds the size of the empty reply.
	maxReplyBytes = 256
)

// ExchangeOver returns an Exchange over persistent HTTP connections.
func ExchangeOver(client *httpwire.Client) Exchange {
	return func(ctx context.Context, address string) error {
		var reply struct{}
		return client.PostJSON(ctx, address, Path, struct{}{}, &reply, maxReplyBytes, func() {})
	}
}

// Handler answers exchanges.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}") // a node that disconnected asks again
	})
}

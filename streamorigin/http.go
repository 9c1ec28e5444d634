package streamorigin

import (
	"context"
	"encoding/json"
	"net/http"

	"lavenderpin.dev/lavenderpin/httpwire"
)

const (
	// Path is the URL path at which a node answers other nodes.
	Path = "/stream-origin"
	// maxMessageBytes bounds the size of a request and of a reply.
	maxMessageBytes = 16 << 10
)

// Client asks other nodes over persistent connections.
type Client struct{ HTTP *httpwire.Client }

// Ask sends a request and reads the reply.
func (c *Client) Ask(ctx context.Context, address string, request Request) (Reply, error) {
	var reply Reply
	err := c.HTTP.PostJSON(ctx, address, Path, &request, &reply, maxMessageBytes, func() {})
	return reply, err
}

// Handler answers other nodes from a registry. It doesn't check that a live node asks: one that has lost the store,
// and so doesn't count as live, has most to ask, and the replies hold no secrets.
func Handler(r *Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, httpReq *http.Request) {
		var request Request
		if !httpwire.ReadJSON(w, httpReq, maxMessageBytes, &request) {
			return
		}
		out, err := json.Marshal(r.answer(httpReq.Context(), request))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(out) // a node that disconnected asks others as well
	})
}

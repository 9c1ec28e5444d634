package quarantine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"lavenderpin.dev/lavenderpin/httpwire"
)

const (
	// Path is the URL path at which a node is told.
	Path = "/upstream-crashes"
	// maxMessageBytes bounds the size of a message: maxBatch crashes with 64 parts each.
	maxMessageBytes = 1 << 20
	// AskPath is the URL path at which a node is asked.
	AskPath = "/request-standings"
	// maxStandingsBytes bounds the answer to maxInquiries: eight crashes each of a few hundred nodes with their sends.
	maxStandingsBytes = 1 << 20
	// maxReplyBytes bounds the size of the empty reply.
	maxReplyBytes = 256
)

// Client tells other nodes over persistent connections.
type Client struct{ HTTP *httpwire.Client }

// Tell implements Transport.
func (c *Client) Tell(ctx context.Context, address string, n News) error {
	var reply struct{}
	return c.HTTP.PostJSON(ctx, address, Path, &n, &reply, maxReplyBytes, func() {})
}

// fromNodes reads messages of other nodes. isNode reports whether an IP address belongs to a node: anybody else could
// have the requests of others refused.
func fromNodes[T any](isNode func(remoteAddress string) bool, handle func(w http.ResponseWriter, message T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, httpReq *http.Request) {
		if !isNode(httpReq.RemoteAddr) {
			http.Error(w, "not a node", http.StatusForbidden)
			return
		}
		var message T
		if httpwire.ReadJSON(w, httpReq, maxMessageBytes, &message) {
			handle(w, message)
		}
	})
}

// Handler receives what other nodes tell.
func Handler(g *Guard, s *Spreader, isNode func(remoteAddress string) bool) http.Handler {
	return fromNodes(isNode, func(w http.ResponseWriter, n News) {
		g.Learn(n)
		if n.PassOn {
			s.PassOn(n)
		}
		_, _ = io.WriteString(w, "{}") // a node that disconnected sends again
	})
}

// Ask implements Transport.
func (c *Client) Ask(ctx context.Context, address string, q Inquiries) ([]Standing, error) {
	var known []Standing
	err := c.HTTP.PostJSON(ctx, address, AskPath, &q, &known, maxStandingsBytes, func() {})
	return known, err
}

// AskHandler answers what other nodes ask.
func AskHandler(g *Guard, s *Spreader, isNode func(remoteAddress string) bool) http.Handler {
	return fromNodes(isNode, func(w http.ResponseWriter, q Inquiries) {
		if len(q.List) > maxInquiries {
			http.Error(w, "too many inquiries", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(Answer(g, s, q)) // a node that disconnected asks again
	})
}

// Answer answers what another node asks, for the other nodes of this data centre as well if it asks for that.
func Answer(g *Guard, s *Spreader, q Inquiries) []Standing {
	known := make([]Standing, len(q.List))
	for i, one := range q.List {
		known[i] = g.Standing(q.Node, one)
	}
	if !q.PassOn {
		return known
	}
	for i, others := range s.AskDataCentre(q) {
		known[i] = known[i].merge(others)
	}
	return known
}

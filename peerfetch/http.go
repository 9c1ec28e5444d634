package peerfetch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/httpwire"
)

const (
	// Path is where a node takes asks.
	Path = "/records"
	// maxAsk and maxReply bound messages in bytes. A configuration has 4 MB at most.
	maxAsk   = 4 << 10
	maxReply = 8 << 20
	// replyTimeout bounds the writing of a reply to a peer that takes it too slowly.
	replyTimeout = 5 * time.Second
)

// Client carries asks over kept connections.
type Client struct{ HTTP *httpwire.Client }

// Fetch sends an ask and reads its reply.
func (c *Client) Fetch(ctx context.Context, address string, ask Request, progress func()) (Reply, error) {
	var reply Reply
	err := c.HTTP.PostJSON(ctx, address, Path, &ask, &reply, maxReply, progress)
	return reply, err
}

// Handler answers the asks of peers out of copies by topic. A configuration holds callers' keys,
// so only addresses that known names are answered.
func Handler(copies map[string]*Replica, known func(ip string) bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, req *http.Request) {
		ip, _, err := net.SplitHostPort(req.RemoteAddr)
		if err != nil || !known(ip) {
			http.Error(w, "not a node of this fleet", http.StatusForbidden)
			return
		}
		raw, err := io.ReadAll(io.LimitReader(req.Body, maxAsk))
		if err != nil {
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		var ask Request
		if err := json.Unmarshal(raw, &ask); err != nil {
			http.Error(w, "not an ask", http.StatusBadRequest)
			return
		}
		held, ok := copies[ask.Topic]
		if !ok {
			http.Error(w, "unknown topic", http.StatusNotFound)
			return
		}
		ask.WaitMs = min(ask.WaitMs, peerWait.Milliseconds())
		out, err := json.Marshal(held.Handle(req.Context(), ask))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout)) // a connection without deadlines is bounded by the asker
		_, _ = w.Write(out)                                                              // a peer that left asks another
	})
	return mux
}

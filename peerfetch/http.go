package peerfetch

import (
	"context"
	"net"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/httpwire"
)

const (
	// Path is the URL path at which a node accepts requests.
	Path = "/records"
	// maxRequestBytes and maxReplyBytes bound messages. A configuration has 4 MB at most.
	maxRequestBytes = 4 << 10
	maxReplyBytes   = 8 << 20
	// replyTimeout bounds the time to write a reply to a slow peer.
	replyTimeout = 5 * time.Second
)

// Client sends requests over persistent connections.
type Client struct{ HTTP *httpwire.Client }

// Fetch sends a request and reads the reply.
func (c *Client) Fetch(ctx context.Context, address string, req Request, progress func()) (Reply, error) {
	var reply Reply
	err := c.HTTP.PostJSON(ctx, address, Path, &req, &reply, maxReplyBytes, progress)
	return reply, err
}

// Handler serves peers' requests from the replicas, which are keyed by topic. A configuration
// contains callers' keys, so only addresses accepted by isNode are served.
func Handler(replicas map[string]*Replica, isNode func(ip string) bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, httpReq *http.Request) {
		ip, _, err := net.SplitHostPort(httpReq.RemoteAddr)
		if err != nil || !isNode(ip) {
			http.Error(w, "not a node of this fleet", http.StatusForbidden)
			return
		}
		var req Request
		if !httpwire.ReadJSON(w, httpReq, maxRequestBytes, &req) {
			return
		}
		replica, ok := replicas[req.Topic]
		if !ok {
			http.Error(w, "unknown topic", http.StatusNotFound)
			return
		}
		req.WaitMs = min(req.WaitMs, maxPeerWait.Milliseconds())
		reply := replica.Handle(httpReq.Context(), req)
		out, err := replica.encode(&req, &reply, acceptsGzip(httpReq))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if out.compressed {
			w.Header().Set("Content-Encoding", encodingGzip)
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout)) // without deadline support, the requester's timeout bounds the connection
		_, _ = w.Write(out.body)                                                         // a peer that disconnected asks another
	})
	return mux
}

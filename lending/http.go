package lending

import (
	"context"
	"encoding/json"
	"net/http"

	"lavenderpin.dev/lavenderpin/httpwire"
)

// loanPath is the path of loan requests.
const loanPath = "/lend"

// maxMessageBytes bounds the size of a request and of a reply.
const maxMessageBytes = 4 << 10

// Client sends loan requests over persistent connections and never retries one.
type Client struct{ Wire *httpwire.Client }

// Call sends a request and reads its reply.
func (c *Client) Call(ctx context.Context, address string, request Request) (Reply, error) {
	var reply Reply
	err := c.Wire.PostJSON(ctx, address, loanPath, &request, &reply, maxMessageBytes, func() {})
	return reply, err
}

// Handler serves a lender over HTTP.
func Handler(lender *Lender) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+loanPath, func(w http.ResponseWriter, req *http.Request) {
		var request Request
		if !httpwire.ReadJSON(w, req, maxMessageBytes, &request) {
			return
		}
		if request.Tokens < 0 {
			http.Error(w, "not a request for tokens", http.StatusBadRequest)
			return
		}
		reply := lender.Handle(req.Context(), request)
		out, err := json.Marshal(&reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(out) // a borrower that disconnected settles the loan
	})
	return mux
}

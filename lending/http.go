package lending

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"lavenderpin.dev/lavenderpin/httpwire"
)

// path is where a node takes asks.
const path = "/lend"

// maxMessage bounds an ask and a reply in bytes.
const maxMessage = 4 << 10

// Client carries asks over kept connections and never repeats one.
type Client struct{ Wire *httpwire.Client }

// Call sends an ask and reads its reply.
func (c *Client) Call(ctx context.Context, address string, ask Request) (Reply, error) {
	var reply Reply
	err := c.Wire.PostJSON(ctx, address, path, &ask, &reply, maxMessage, func() {})
	return reply, err
}

// Handler serves a lender.
func Handler(lender *Lender) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		raw, err := io.ReadAll(io.LimitReader(req.Body, maxMessage))
		if err != nil {
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		var ask Request
		if err := json.Unmarshal(raw, &ask); err != nil || ask.Tokens < 0 {
			http.Error(w, "not an ask", http.StatusBadRequest)
			return
		}
		reply := lender.Handle(req.Context(), ask)
		out, err := json.Marshal(&reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(out) // a borrower that left settles the loan
	})
	return mux
}

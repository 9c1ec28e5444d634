package httpwire

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// PostJSON sends a message once and decodes the reply, of at most limit bytes. progress is
// called whenever a part of the reply arrives.
func (c *Client) PostJSON(ctx context.Context, address, target string, message, reply any, limit int64, progress func()) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}
	header := http.Header{"Accept-Encoding": {encodingGzip}}
	resp, err := c.Do(ctx, address, &Request{Method: http.MethodPost, Target: target, Host: address, Header: header, Body: body})
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Close()
	decoded, err := decodeBody(resp, &ProgressReader{R: resp, Progress: progress})
	if err != nil {
		return errors.Trace(err)
	}
	raw, err := io.ReadAll(io.LimitReader(decoded, limit))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.Status != http.StatusOK {
		return errors.Errorf("the peer responded with HTTP status %d", resp.Status)
	}
	return errors.Trace(json.Unmarshal(raw, reply))
}

// encodingGzip is the only content encoding that PostJSON accepts.
const encodingGzip = "gzip"

// decodeBody returns the body of a response without its content encoding.
func decodeBody(resp *Response, body io.Reader) (io.Reader, error) {
	if resp.Header.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	return gzip.NewReader(body)
}

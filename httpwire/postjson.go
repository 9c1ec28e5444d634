package httpwire

import (
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
	resp, err := c.Do(ctx, address, &Request{Method: http.MethodPost, Target: target, Host: address, Body: body})
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Close()
	raw, err := io.ReadAll(io.LimitReader(&ProgressReader{R: resp, Progress: progress}, limit))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.Status != http.StatusOK {
		return errors.Errorf("the peer responded with HTTP status %d", resp.Status)
	}
	return errors.Trace(json.Unmarshal(raw, reply))
}

package httpwire

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// PostJSON sends a message once and reads the reply, of at most limit bytes. progress is called
// whenever a part of the reply arrives.
func (c *Client) PostJSON(ctx context.Context, address, target string, message, reply any, limit int64, progress func()) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := c.Do(ctx, address, &Request{Method: http.MethodPost, Target: target, Host: address, Body: body})
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Close()
	raw, err := io.ReadAll(io.LimitReader(&ProgressReader{R: answer, Progress: progress}, limit))
	if err != nil {
		return errors.Trace(err)
	}
	if answer.Status != http.StatusOK {
		return errors.Errorf("the peer answers %d", answer.Status)
	}
	return errors.Trace(json.Unmarshal(raw, reply))
}

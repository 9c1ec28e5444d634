package httpwire

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// Conn is the connection on which a request will be sent, for Request.Check.
type Conn struct {
	client  *Client
	address string
	conn    *conn
}

// Peer returns what SetPeer set on the connection; zero before that. The process at the other end of a connection
// never changes.
func (c *Conn) Peer() int64 { return c.conn.peer }

// SetPeer records which process is at the other end, for later requests on the connection.
func (c *Conn) SetPeer(peer int64) { c.conn.peer = peer }

// Exchange sends another request over the connection and reads the whole response, of at most limit bytes. It fails
// if the connection can't be used on afterwards.
func (c *Conn) Exchange(ctx context.Context, r *Request, limit int64) (status int, body []byte, err error) {
	resp := &Response{client: c.client, address: c.address, conn: c.conn}
	unregister := context.AfterFunc(ctx, c.conn.abort)
	if err := resp.send(r); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if err := resp.receive(r); err != nil {
		return 0, nil, errors.Trace(err)
	}
	body, err = io.ReadAll(io.LimitReader(resp, limit+1))
	switch {
	case err != nil:
		return 0, nil, errors.Trace(err)
	case !unregister():
		return 0, nil, errors.Trace(context.Cause(ctx))
	case resp.keepAliveTime() <= 0:
		return 0, nil, errors.Errorf("the connection ends with the response, which has %d bytes", len(body))
	}
	return resp.Status, body, nil
}

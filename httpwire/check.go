package httpwire

import (
	"context"
	"fmt"
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

// errConnEnded wraps the errors of exchanges after which the connection can't be used on.
var errConnEnded = errors.New("the connection can't be used on")

// Exchange sends another request over the connection and reads the whole response, of at most limit bytes. It fails
// if the connection can't be used on afterwards; the check then takes place once more on a new one.
func (c *Conn) Exchange(ctx context.Context, r *Request, limit int64) (status int, body []byte, err error) {
	resp := &Response{client: c.client, address: c.address, conn: c.conn}
	unregister := context.AfterFunc(ctx, c.conn.abort)
	if err := resp.send(r); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errConnEnded, err)
	}
	if err := resp.receive(r); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errConnEnded, err)
	}
	body, err = io.ReadAll(io.LimitReader(resp, limit+1))
	switch {
	case err != nil:
		return 0, nil, fmt.Errorf("%w: %w", errConnEnded, err)
	case !unregister():
		return 0, nil, fmt.Errorf("%w: %w", errConnEnded, context.Cause(ctx))
	case resp.keepAliveTime() <= 0:
		return 0, nil, fmt.Errorf("%w: it ends with a response of %d bytes", errConnEnded, len(body))
	}
	return resp.Status, body, nil
}

// acquireChecked returns a connection that passed the request's check. A pooled one may have been closed by its peer,
// and a peer may close one after any response; that says nothing of the peer, and a new one is checked.
func (c *Client) acquireChecked(ctx context.Context, address string, r *Request, newConn bool) (*conn, error) {
	cn, err := c.acquire(ctx, address, newConn, r.MayUse)
	if err != nil || r.Check == nil {
		return cn, err
	}
	if err = r.Check(ctx, &Conn{client: c, address: address, conn: cn}); err == nil {
		return cn, nil
	}
	_ = cn.Close() // nothing of the request was sent on it
	if !errors.Is(err, errConnEnded) || ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if cn, err = c.acquire(ctx, address, true, nil); err != nil {
		return nil, err
	}
	if err = r.Check(ctx, &Conn{client: c, address: address, conn: cn}); err == nil {
		return cn, nil
	}
	_ = cn.Close() // as above
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// errStaleConn is returned by a connection that must not carry a further request: the way to the
// upstream has changed since it was opened. Nothing of the request was sent.
var errStaleConn = errors.New("the connection is stale")

const (
	// initialReadBuffer is the size of a connection's read buffer in bytes: several chunks of a
	// stream.
	initialReadBuffer = 4 << 10
	// minRead is the least space, in bytes, that is offered to one read.
	minRead = 512
)

// clientConn adapts a connection to the HTTP library, whose own adapter is not exported. It checks
// before each request whether the connection may still be used.
type clientConn struct {
	net.Conn
	// response is Conn.
	response *responseConn

	// unread[r:] is what was received and not consumed. Slices of it that the library holds stay
	// valid until Release, since the memory is never overwritten before.
	unread []byte
	r      int
	// pending holds what is to be sent with the next Flush.
	pending [][]byte
	// answered is set while nothing was sent since the last byte received.
	answered bool
}

var (
	_ network.Conn               = (*clientConn)(nil)
	_ network.ErrorNormalization = (*clientConn)(nil)
)

func newClientConn(c net.Conn) *clientConn {
	r := &responseConn{Conn: c}
	return &clientConn{Conn: r, response: r}
}

// Peek returns the next n bytes without consuming them.
func (c *clientConn) Peek(n int) ([]byte, error) {
	if err := c.fill(n); err != nil {
		return c.unread[c.r:], err
	}
	return c.unread[c.r : c.r+n], nil
}

// fill receives until n bytes are there.
func (c *clientConn) fill(n int) error {
	for c.Len() < n {
		if free := cap(c.unread) - len(c.unread); free < minRead {
			c.grow(n)
		}
		got, err := c.Conn.Read(c.unread[len(c.unread):cap(c.unread)])
		c.unread = c.unread[:len(c.unread)+got]
		c.answered = c.answered || got > 0
		if err != nil && c.Len() < n {
			return err
		}
	}
	return nil
}

// grow moves what is unread to new memory with room for n bytes.
func (c *clientConn) grow(n int) {
	size := max(initialReadBuffer, 2*c.Len(), n+minRead)
	moved := make([]byte, c.Len(), size)
	copy(moved, c.unread[c.r:])
	c.unread, c.r = moved, 0
}

// Skip consumes n bytes.
func (c *clientConn) Skip(n int) error {
	if err := c.fill(n); err != nil {
		return err
	}
	c.r += n
	return nil
}

// Release allows the memory of consumed bytes to be used again.
func (c *clientConn) Release() error {
	if c.Len() == 0 {
		c.unread, c.r = c.unread[:0], 0
	}
	return nil
}

// Len returns the number of bytes that can be consumed without receiving.
func (c *clientConn) Len() int { return len(c.unread) - c.r }

// ReadByte consumes a byte.
func (c *clientConn) ReadByte() (byte, error) {
	if err := c.fill(1); err != nil {
		return 0, err
	}
	c.r++
	return c.unread[c.r-1], nil
}

// ReadBinary consumes n bytes and returns a copy of them.
func (c *clientConn) ReadBinary(n int) ([]byte, error) {
	if err := c.fill(n); err != nil {
		return nil, err
	}
	p := make([]byte, n)
	copy(p, c.unread[c.r:])
	c.r += n
	return p, nil
}

// Read consumes what is there, or else receives.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.Len() == 0 {
		if err := c.fill(1); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread[c.r:])
	c.r += n
	return n, nil
}

// Malloc returns n bytes that the next Flush sends.
func (c *clientConn) Malloc(n int) ([]byte, error) {
	p := make([]byte, n)
	c.pending = append(c.pending, p)
	return p, nil
}

// WriteBinary sends b with the next Flush; b must not change until then.
func (c *clientConn) WriteBinary(b []byte) (int, error) {
	c.pending = append(c.pending, b)
	return len(b), nil
}

// Write sends what is pending and b.
func (c *clientConn) Write(b []byte) (int, error) {
	c.pending = append(c.pending, b)
	if err := c.Flush(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush sends what is pending.
func (c *clientConn) Flush() error {
	if len(c.pending) == 0 {
		return nil
	}
	if err := c.checkUsable(); err != nil {
		return err
	}
	c.answered = false
	message := c.pending[0]
	if len(c.pending) > 1 {
		message = bytes.Join(c.pending, nil) // one packet, not one for each part
	}
	c.response.expectResponse(message)
	_, err := c.Conn.Write(message)
	clear(c.pending)
	c.pending = c.pending[:0]
	if isClosedByPeer(err) && tcpconn.HasUnread(c.response.Conn) {
		return nil // an answer that came before the request was read; whether it is whole shows in reading it
	}
	return err
}

// isClosedByPeer reports whether a write failed because the peer has closed or reset the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// checkUsable returns errStaleConn before the first byte of a request on a stale connection that has
// served another one. That the upstream closed it meanwhile says nothing of the request, and bytes behind the last response belong to
// none.
func (c *clientConn) checkUsable() error {
	if c.answered && (c.Len() > 0 || !c.response.Reusable() || tcpconn.ClosedByPeer(c.response.Conn) || tcpconn.HasUnread(c.response.Conn)) {
		return errStaleConn
	}
	return nil
}

// SetReadTimeout bounds reading from now on.
func (c *clientConn) SetReadTimeout(t time.Duration) error { return c.SetReadDeadline(deadline(t)) }

// SetWriteTimeout bounds sending from now on.
func (c *clientConn) SetWriteTimeout(t time.Duration) error { return c.SetWriteDeadline(deadline(t)) }

// deadline returns the end of a timeout; without a timeout there is none.
func deadline(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// ToHertzError translates errors for the library.
func (c *clientConn) ToHertzError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ENOTCONN):
		return hertzerrors.ErrConnectionClosed
	case errors.As(err, &op) && op.Timeout():
		return hertzerrors.ErrTimeout
	}
	return err
}

var _ io.ByteReader = (*clientConn)(nil)

package memnet

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. Its fields are guarded by the network's mutex.
type conn struct {
	network       *Network
	between       path
	local, remote addr
	peer          *conn
	changed       *sync.Cond

	// received holds the bytes to read; ended is set once the peer has closed its end.
	received []byte
	ended    bool
	// held holds what was written during a silent cut; heldEnd is set if the end was closed since.
	held    []byte
	heldEnd bool
	// failure is set once the connection was reset.
	failure error
	closed  bool
	linger0 bool
	// arrives is when the last of what was written reaches the peer, if a link is in between; zero if none is.
	arrives time.Time

	readDeadline, writeDeadline deadline
}

var _ net.Conn = (*conn)(nil)

// newPair returns the two ends of a new connection. The caller holds the network's mutex.
func (n *Network) newPair(between path, from, to string) (client, server *conn) {
	client = &conn{network: n, between: between, local: addr(from), remote: addr(to)}
	server = &conn{network: n, between: between, local: addr(to), remote: addr(from), peer: client}
	client.peer = server
	for _, c := range []*conn{client, server} {
		c.changed = sync.NewCond(&n.mu)
		n.conns[c] = true
	}
	return client, server
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.failure != nil:
			return 0, c.opError("read", c.failure)
		case len(c.received) > 0:
			n := copy(p, c.received)
			c.received = c.received[n:]
			return n, nil
		case c.ended:
			return 0, io.EOF
		case c.readDeadline.passed():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn. It never blocks: the buffers of the network and the queues of links are unlimited.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case c.failure != nil:
		return 0, c.opError("write", c.failure)
	case c.writeDeadline.passed():
		return 0, c.opError("write", os.ErrDeadlineExceeded)
	case c.isSilent():
		c.held = append(c.held, p...)
		return len(p), nil
	case c.peer.closed:
		c.failure = syscall.ECONNRESET
		return 0, c.opError("write", c.failure)
	}
	c.deliverLocked(p)
	return len(p), nil
}

// deliverLocked passes data to the peer, now or when it has passed the links.
func (c *conn) deliverLocked(p []byte) {
	at := c.network.passLocked(host(c.local), host(c.remote), onWire(len(p)))
	wait := time.Until(at)
	if wait <= 0 && c.arrives.IsZero() {
		c.peer.receiveLocked(p)
		return
	}
	c.arrives = at
	data := slices.Clone(p)
	time.AfterFunc(wait, func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.peer.receiveLocked(data)
	})
}

// receiveLocked takes data from the network.
func (c *conn) receiveLocked(p []byte) {
	if c.closed || c.failure != nil {
		return
	}
	c.received = append(c.received, p...)
	c.changed.Broadcast()
}

func (c *conn) isSilent() bool { return c.network.cuts[c.between] == Silent }

// Close implements net.Conn. With unread bytes, or after SetLinger(0), it resets the connection.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.changed.Broadcast()
	reset := c.linger0 || len(c.received) > 0
	if reset {
		c.held = nil
	}
	switch {
	case c.isSilent() && reset:
		delete(c.network.conns, c) // the peer isn't told
	case c.isSilent():
		c.heldEnd = true
	case reset:
		c.peer.resetLocked()
	default:
		c.endLocked()
	}
	return nil
}

// Reusable reports whether the peer hasn't closed or reset the connection, as far as has arrived.
func (c *conn) Reusable() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return !c.ended && c.failure == nil
}

// endLocked tells the peer that nothing more comes, after what is on its way.
func (c *conn) endLocked() {
	delete(c.network.conns, c)
	if wait := time.Until(c.arrives); wait > 0 {
		time.AfterFunc(wait+time.Nanosecond, func() {
			c.network.mu.Lock()
			defer c.network.mu.Unlock()
			c.endedLocked()
		})
		return
	}
	c.endedLocked()
}

func (c *conn) endedLocked() {
	c.peer.ended = true
	c.peer.changed.Broadcast()
}

// resetLocked makes this end fail.
func (c *conn) resetLocked() {
	delete(c.network.conns, c)
	c.failure = syscall.ECONNRESET
	c.received, c.held = nil, nil
	c.changed.Broadcast()
}

// deliverHeldLocked delivers what was held during a silent cut.
func (c *conn) deliverHeldLocked() {
	if len(c.held) > 0 {
		c.peer.received = append(c.peer.received, c.held...)
		c.held = nil
		c.peer.changed.Broadcast()
	}
	if c.heldEnd {
		c.endLocked()
	}
}

// SetLinger is like net.TCPConn.SetLinger; only 0 has an effect.
func (c *conn) SetLinger(seconds int) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.linger0 = seconds == 0
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline.set(t, c.wake)
	c.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.writeDeadline.set(t, c.wake)
	return nil
}

func (c *conn) wake() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.changed.Broadcast()
}

// host returns the host of an address.
func host(a addr) string {
	h, _, _ := net.SplitHostPort(string(a)) // addresses of connections are well-formed
	return h
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

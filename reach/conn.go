package reach

import (
	"net"
	"syscall"
	"time"
)

// Conn is a connection to an upstream that a Dialer opened.
type Conn struct {
	net.Conn
	dialer *Dialer
	path   *path
	epoch  int64
	// peer is the node that relays, in peerRegion; empty if the connection is direct.
	peer, peerRegion string
}

var _ syscall.Conn = (*Conn)(nil)

func (d *Dialer) observe(p *path, c net.Conn) net.Conn {
	return &Conn{Conn: c, dialer: d, path: p, epoch: p.epoch.Load()}
}

func (d *Dialer) observeRelayed(p *path, r relayResult) net.Conn {
	return &Conn{Conn: r.conn, dialer: d, path: p, epoch: p.epoch.Load(), peer: r.peer.Name, peerRegion: r.peer.Region}
}

// Read records how long data is awaited on a direct connection, and when it comes.
func (c *Conn) Read(b []byte) (int, error) {
	if c.peer != "" {
		return c.Conn.Read(b)
	}
	c.path.beginWait(c.dialer.now())
	n, err := c.Conn.Read(b)
	c.path.endWait()
	if n > 0 && c.path.received(c.dialer.now()) {
		c.dialer.reportChange(c.path, PathChange{Address: c.path.address, Mode: Direct, From: Unreachable})
	}
	return n, err
}

// Write records that the path is in use.
func (c *Conn) Write(b []byte) (int, error) {
	c.path.usedAt.Store(int64(c.dialer.now()))
	return c.Conn.Write(b)
}

// Reusable reports whether the connection may carry another request: since it was opened, the way
// to the upstream hasn't changed, and the node that relays still serves.
func (c *Conn) Reusable() bool {
	if c.epoch != c.path.epoch.Load() {
		return false
	}
	if dialed, ok := c.Conn.(interface{ Reusable() bool }); ok && !dialed.Reusable() {
		return false
	}
	if c.peer == "" {
		return true
	}
	return c.dialer.serves(c.peer)
}

// peerOf returns the node that relays a connection of a Dialer; empty if it is direct.
func peerOf(c net.Conn) string {
	if observed, ok := c.(*Conn); ok {
		return observed.peer
	}
	return ""
}

// SyscallConn returns the connection's socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// SetLinger sets what Close does with unsent data, if the connection supports it.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// since returns the time since a reading of the clock that was stored atomically.
func since(now time.Duration, at int64) time.Duration { return now - time.Duration(at) }

package tcpconn

import (
	"io"
	"net"
	"syscall"
)

// tcpSocket is a TCP connection, accepted or dialed.
type tcpSocket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

var _, _ tcpSocket = (*net.TCPConn)(nil), (*dialedConn)(nil)

// meteredTCPConn is a TCP connection whose bytes are counted.
type meteredTCPConn struct {
	tcpSocket
	usage
}

// Read implements net.Conn.
func (c *meteredTCPConn) Read(p []byte) (int, error) {
	n, err := c.tcpSocket.Read(p)
	c.read(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredTCPConn) Write(p []byte) (int, error) {
	n, err := c.tcpSocket.Write(p)
	c.wrote(n)
	return n, err
}

// ReadFrom implements io.ReaderFrom, in place of one that copies past the counter.
func (c *meteredTCPConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo implements io.WriterTo, in place of one that copies past the counter.
func (c *meteredTCPConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// meteredConn is a connection without a socket whose bytes are counted.
type meteredConn struct {
	net.Conn
	usage
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote(n)
	return n, err
}

// Reusable reports whether the connection may carry another request.
func (c *meteredConn) Reusable() bool {
	inner, ok := c.Conn.(interface{ Reusable() bool })
	return !ok || inner.Reusable()
}

// SetLinger sets what Close does with unsent data, if the connection supports it.
func (c *meteredConn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

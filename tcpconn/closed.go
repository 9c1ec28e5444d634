package tcpconn

import (
	"context"
	"net"

	"golang.org/x/sys/unix"
)

// connKey is the key of a context's connection.
type connKey struct{}

// WithConn returns a context of the requests that arrive on a connection; it fits http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection that a request arrived on, or nil if it isn't known.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// ClosedByPeer reports whether the peer has closed the connection, as the system knows, also if the process
// hasn't read the close yet. It consumes nothing, and others may read from the connection meanwhile. It is
// false for a connection without a socket.
func ClosedByPeer(c net.Conn) bool {
	closed, _ := peek(c)
	return closed
}

// HasUnread reports whether the system has bytes of the connection that nobody has read. It consumes nothing, and is false for a
// connection without a socket.
func HasUnread(c net.Conn) bool {
	_, unread := peek(c)
	return unread
}

// peek reports whether the peer has closed the connection, and whether there are bytes to read.
func peek(c net.Conn) (closed, unread bool) {
	err := control(c, func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			closed, unread = n == 0, n > 0
		case unix.EAGAIN, unix.EINTR:
		default:
			closed = true // reset, or timed out
		}
	})
	return closed || err != nil && err != errNoSocket, unread // closed by this process
}

package tcpconn

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Listen listens at an IP:port address and sets the limits of each connection that it accepts.
func Listen(address string, l Limits) (net.Listener, error) {
	inheriting, err := ListenInheriting(address, l)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &listener{Listener: inheriting, limits: l}, nil
}

// ListenInheriting is like Listen but leaves it to the system to pass the limits on to accepted
// connections, for servers that accept on the socket itself. Linux does so.
func ListenInheriting(address string, l Limits) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: l.keepAlive(), Control: func(_, _ string, c syscall.RawConn) error { return l.set(c) }}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Trace(err)
}

// listener sets the limits of each connection that it accepts.
type listener struct {
	net.Listener
	limits Limits
}

// SyscallConn returns access to the listening socket.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("a listener without a socket")
	}
	return sc.SyscallConn()
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = l.limits.set(raw) // fails only on a connection that has ended, which its reader sees
		}
	}
	return c, nil
}

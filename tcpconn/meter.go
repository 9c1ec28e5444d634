package tcpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// Meter counts the bytes that a process receives and sends over its connections. The zero value is ready to use; it is
// safe for concurrent use.
type Meter struct{ received, sent atomic.Int64 }

// Received returns how many bytes were read from the connections.
func (m *Meter) Received() int64 { return m.received.Load() }

// Sent returns how many bytes were written to the connections.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Dial returns a function that counts the bytes of the connections that dial opens.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return m.conn(c), nil
	}
}

// Listener returns a listener that counts the bytes of the connections that l accepts.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

func (m *Meter) conn(c net.Conn) net.Conn {
	if tcp, ok := c.(tcpSocket); ok {
		return &meteredTCPConn{tcpSocket: tcp, usage: usage{meter: m}}
	}
	return &meteredConn{Conn: c, usage: usage{meter: m}}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.conn(c), nil
}

// SyscallConn returns access to the listening socket.
func (l *meteredListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("a listener without a socket")
	}
	return sc.SyscallConn()
}

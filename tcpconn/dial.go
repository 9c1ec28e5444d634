package tcpconn

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection to an IP:port address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer returns a function that connects over TCP.
func Dialer(l Limits) DialFunc {
	return dialWith(&net.Dialer{KeepAliveConfig: l.keepAlive(), Control: func(_, _ string, c syscall.RawConn) error { return l.set(c) }})
}

// DialerFrom is like Dialer but connects from the given IP address, by which peers may know the node.
func DialerFrom(ip netip.Addr, l Limits) DialFunc {
	return dialWith(&net.Dialer{
		KeepAliveConfig: l.keepAlive(),
		LocalAddr:       net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)),
		Control: func(_, _ string, c syscall.RawConn) error {
			if err := l.set(c); err != nil {
				return err
			}
			return choosePortOnConnect(c)
		},
	})
}

func dialWith(dialer *net.Dialer) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &dialedConn{TCPConn: c.(*net.TCPConn)}, nil
	}
}

// choosePortOnConnect lets the system choose the local port when it knows the peer. Otherwise no two
// connections could have the same port, and an address would run out of them.
func choosePortOnConnect(c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Trace(err)
}

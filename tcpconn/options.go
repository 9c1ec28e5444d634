package tcpconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func (l Limits) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: l.KeepAliveIdle, Interval: l.KeepAliveInterval, Count: l.probes()}
}

// socketOption is one option of a socket.
type socketOption struct{ level, name, value int }

func (l Limits) options() []socketOption {
	return []socketOption{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.UserTimeout.Milliseconds())},
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(l.KeepAliveIdle / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(l.KeepAliveInterval / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, l.probes()},
	}
}

// set sets the limits of a socket.
func (l Limits) set(c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		for _, o := range l.options() {
			if err = unix.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil {
				return
			}
		}
	}); controlErr != nil {
		return controlErr
	}
	return err
}

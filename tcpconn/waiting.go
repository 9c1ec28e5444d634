package tcpconn

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Received returns how many bytes the peer has sent, as the system knows, also if the process hasn't read them
// yet; a close counts as one. It is 0 for a connection without a socket.
func Received(c net.Conn) uint64 {
	received := uint64(0)
	_ = control(c, func(fd int) { // without a socket there is nothing to tell
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			received = info.Bytes_received
		}
	})
	return received
}

// SinceReceived returns how long ago the peer's newest bytes arrived, as the system knows to the millisecond,
// whether or not the process has read them. It is 0 for a connection without a socket.
func SinceReceived(c net.Conn) time.Duration {
	since := time.Duration(0)
	_ = control(c, func(fd int) { // without a socket there is nothing to tell
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// HasPending reports whether connections wait in the system for the process to accept them. It is false
// for a listener without a socket.
func HasPending(l net.Listener) bool {
	pending := false
	_ = control(l, func(fd int) { // without a socket there is nothing to tell
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		pending = err == nil && n > 0 && events[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// errNoSocket is the error of control for what has no socket.
var errNoSocket = errors.New("no socket")

// control calls f with the descriptor of a socket. It fails if there is none, or if this process has closed it.
func control(socket any, f func(fd int)) error {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errNoSocket
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

package tcpconn

import (
	"net"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer sets the size in bytes of the receive buffer of a connection, or of those that a listener accepts from now
// on, which bounds what the peer sends before this process reads. It fails without a socket. The system no longer adapts the
// size by itself.
func SetReceiveBuffer(socket any, bytes int) error {
	var err error
	if controlErr := control(socket, func(fd int) { err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) }); controlErr != nil {
		return controlErr
	}
	return err
}

// ReceiveBuffer returns the size in bytes of a connection's receive buffer, as set; 0 without a socket.
func ReceiveBuffer(c net.Conn) int {
	size := 0
	_ = control(c, func(fd int) { // without a socket there is nothing to tell
		if n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
			size = n / 2 // Linux doubles what is set, for what it keeps beside the data
		}
	})
	return size
}

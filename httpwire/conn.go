package httpwire

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes: several events of
	// a stream, and small enough for hundreds of connections.
	readBuffer = 4 << 10
	// inlineBody is up to how many bytes a request is written before its answer is
	// read; a longer one is written meanwhile, since a peer that answers early may
	// never read the rest.
	inlineBody = 8 << 10
)

// conn is one connection, used by one exchange at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// idleSince and keepFor, by the boot clock, bound how long it may be used again.
	idleSince, keepFor time.Duration
}

// quiet tells whether the connection is open with nothing waiting on it. Bytes that
// wait belong to no request, and a close would lose the next one.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

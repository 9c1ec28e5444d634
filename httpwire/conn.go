package httpwire

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes: several events of a
	// stream, and small enough for hundreds of connections.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the response is read.
	// A longer one is written concurrently, since a peer that responds early may never read the
	// rest.
	maxInlineBody = 8 << 10
)

// conn is a connection, used by one exchange at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// head bounds what r reads while the headers of a response are awaited.
	head *headLimit
	// idleSince and reusableFor, on the boot clock, bound how long it may be reused.
	idleSince, reusableFor time.Duration
	// peer identifies the process at the other end; zero if it isn't known.
	peer int64
}

// abort closes the connection during an exchange. What the peer hasn't received yet is dropped:
// sent after the end of a partition or of a full queue, it would start work for nobody.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0) // an orderly close is still better than none
	}
	_ = c.Close() // the peer may have closed it first
}

// current reports whether the dialer would still connect to the peer this way.
func (c *conn) current() bool {
	dialed, ok := c.Conn.(interface{ Reusable() bool })
	return !ok || dialed.Reusable()
}

// reusable reports whether the connection is open and has no unread bytes. Unread bytes belong
// to no request, and a request sent on a closed connection would be lost.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if !c.current() {
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

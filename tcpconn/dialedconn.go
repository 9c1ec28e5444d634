package tcpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// tcpStateClosed is TCP_CLOSE of Linux: the connection was reset, or both sides have closed it.
const tcpStateClosed = 7

// dialedConn is a TCP connection that doesn't take a reset or a time-out for an orderly end. The system tells such a failure once: if
// a write learns of it, the next read returns as if the peer had closed the connection in order, and an answer that ends with its
// connection would look complete. Behind an orderly end, a write fails with EPIPE.
type dialedConn struct {
	*net.TCPConn
	// writing is held during each write.
	writing sync.Mutex
	// failure is the error, a syscall.Errno, by which a write learned that the connection has failed; zero if none has.
	failure atomic.Uint32
}

// Read implements net.Conn.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		if failure := c.learnedFailure(); failure != 0 {
			err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failure)}
		}
	}
	return n, err
}

// learnedFailure returns the failure that a write learned of; zero if there is none. A write that is under way may have learned of
// one without having recorded it yet; none waits once the connection is closed.
func (c *dialedConn) learnedFailure() syscall.Errno {
	if !c.isClosed() {
		return 0
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return syscall.Errno(c.failure.Load())
}

// isClosed reports whether the system has ended the connection.
func (c *dialedConn) isClosed() bool {
	closed := false
	err := control(c.TCPConn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpStateClosed
	})
	return closed || err != nil
}

// Write implements net.Conn.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure.Store(uint32(errno))
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, in place of one that writes past Write.
func (c *dialedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo implements io.WriterTo, in place of one that reads past Read.
func (c *dialedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

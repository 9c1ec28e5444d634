package tcpconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// acceptedPair returns both ends of a connection.
func acceptedPair(t *testing.T) (dialed *net.TCPConn, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := Listen("127.0.0.1:0", CallerLimits)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	accepted, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return c.(*net.TCPConn), accepted
}

// Guards against taking a caller for present because the process hasn't read the close, and a caller that
// sent its next request already for gone.
func TestCloseIsSeenBeforeItIsRead(t *testing.T) {
	for name, closePeer := range map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset":  func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialed, accepted := acceptedPair(t)
			is.True(!ClosedByPeer(accepted))
			_, err := dialed.Write([]byte("n"))
			is.NoErr(err)
			is.True(!ClosedByPeer(accepted))
			var b [1]byte
			_, err = io.ReadFull(accepted, b[:])
			is.NoErr(err)
			is.Equal(b[0], byte('n')) // nothing was consumed
			is.NoErr(closePeer(dialed))
			for !ClosedByPeer(accepted) { // the system delivers the close at once, but not in the call
			}
		})
	}
}

// Guards against a wait for the goroutine that reads from the connection.
func TestCloseIsSeenWhileOthersRead(t *testing.T) {
	is := is.New(t)
	_, accepted := acceptedPair(t)
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = accepted.Read(make([]byte, 1)) // until the test closes the connection
	}()
	<-reading
	is.True(!ClosedByPeer(accepted))
	is.NoErr(accepted.Close())
	is.True(ClosedByPeer(accepted))
}

func TestContextCarriesItsConnection(t *testing.T) {
	is := is.New(t)
	_, accepted := acceptedPair(t)
	is.Equal(ConnOf(WithConn(context.Background(), accepted)), accepted)
	is.True(ConnOf(context.Background()) == nil)
	memory, _ := net.Pipe()
	is.True(!ClosedByPeer(memory))
}

// noSocket is a connection whose socket can't be reached.
type noSocket struct{ net.Conn }

func (noSocket) SyscallConn() (syscall.RawConn, error) { return nil, errors.New("none") }

// Guards against taking a caller for gone because its connection has no socket to look at.
func TestConnectionWithoutSocketIsNotClosed(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	is.True(!ClosedByPeer(near))
	is.True(!ClosedByPeer(noSocket{near}))
}

package tcpconn

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against ending while a caller's connection waits to be accepted or its request to be read.
func TestWaitingConnectionsAndRequestsAreSeen(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0", CallerLimits)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	is.True(!HasPending(l))
	dialed, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	for !HasPending(l) { // the handshake ends in the system
	}
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	is.True(!HasPending(l))
	is.Equal(Received(accepted), uint64(0))
	_, err = dialed.Write([]byte("n"))
	is.NoErr(err)
	for Received(accepted) == 0 {
	}
	var b [1]byte
	_, err = io.ReadFull(accepted, b[:])
	is.NoErr(err)
	is.Equal(b[0], byte('n')) // nothing was consumed
	is.Equal(Received(accepted), uint64(1))
	is.NoErr(dialed.Close())
	for !ClosedByPeer(accepted) {
	}
	is.Equal(Received(accepted), uint64(2)) // a close counts as one
}

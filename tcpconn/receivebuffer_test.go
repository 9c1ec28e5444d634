package tcpconn

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a body that crosses the link though nobody reads it, and against one that never comes once it is read.
func TestReceiveBufferBoundsWhatComesUnasked(t *testing.T) {
	is := is.New(t)
	const small, length = 2048, 12_000
	l, err := Listen("127.0.0.1:0", CallerLimits)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	is.NoErr(SetReceiveBuffer(l, small))
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write(make([]byte, length)) // fits the send buffer
	is.NoErr(err)
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	is.Equal(ReceiveBuffer(accepted), small)
	buffer := make([]byte, 2*length)
	n, err := accepted.Read(buffer)
	is.NoErr(err)
	is.True(n <= small)
	is.True(Received(accepted) <= 2*small) // the read made room
	is.NoErr(SetReceiveBuffer(accepted, 64<<10))
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(10 * time.Second)))
	for n < length {
		more, err := accepted.Read(buffer[n:])
		is.NoErr(err)
		n += more
	}
	is.Equal(ReceiveBuffer(nil), 0)
	is.True(SetReceiveBuffer(nil, small) != nil)
}

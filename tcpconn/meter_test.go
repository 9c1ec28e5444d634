package tcpconn

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// meteredPair returns both ends of a connection, each with a meter of its own.
func meteredPair(t *testing.T) (dialed, accepted net.Conn, dialedMeter, acceptedMeter *Meter) {
	t.Helper()
	is := is.New(t)
	dialedMeter, acceptedMeter = &Meter{}, &Meter{}
	inner, err := Listen("127.0.0.1:0", CallerLimits)
	is.NoErr(err)
	l := acceptedMeter.Listener(inner)
	defer func() { _ = l.Close() }()
	dialed, err = dialedMeter.Dial(Dialer(ServerLimits))(t.Context(), l.Addr().String())
	is.NoErr(err)
	accepted, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed, accepted, dialedMeter, acceptedMeter
}

// Guards against bytes of the link that nobody counts: a node would take a full link for slow callers.
func TestMeterCountsBothDirections(t *testing.T) {
	is := is.New(t)
	dialed, accepted, dialedMeter, acceptedMeter := meteredPair(t)
	_, err := dialed.Write(make([]byte, 100))
	is.NoErr(err)
	_, err = io.ReadFull(accepted, make([]byte, 100))
	is.NoErr(err)
	copied, err := io.Copy(accepted, io.LimitReader(endlessBytes{}, 30)) // past Write
	is.NoErr(err)
	is.Equal(copied, int64(30))
	_, err = io.ReadFull(dialed, make([]byte, 30))
	is.NoErr(err)
	is.Equal(dialedMeter.Sent(), int64(100))
	is.Equal(acceptedMeter.Received(), int64(100))
	is.Equal(acceptedMeter.Sent(), int64(30))
	is.Equal(dialedMeter.Received(), int64(30))
}

// endlessBytes is an endless source of bytes.
type endlessBytes struct{}

func (endlessBytes) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a time-out that begins only when a request's handler runs, and against one that counts from an earlier
// request of the connection.
func TestFirstReadIsThatOfTheRequest(t *testing.T) {
	is := is.New(t)
	dialed, accepted, _, _ := meteredPair(t)
	is.Equal(SinceFirstRead(accepted).Nanoseconds(), int64(0))
	read := func() {
		_, err := dialed.Write([]byte("n"))
		is.NoErr(err)
		_, err = io.ReadFull(accepted, make([]byte, 1))
		is.NoErr(err)
	}
	read()
	first := SinceFirstRead(accepted)
	is.True(first > 0)
	read()
	is.True(SinceFirstRead(accepted) > first) // still of the first byte
	MarkIdle(accepted)
	is.Equal(SinceFirstRead(accepted).Nanoseconds(), int64(0))
	read()
	is.True(SinceFirstRead(accepted) > 0)
	is.Equal(SinceFirstRead(nil).Nanoseconds(), int64(0))
}

// Guards against metered connections that hide their socket, by which a closed caller is seen.
func TestMeteredConnectionShowsItsSocket(t *testing.T) {
	is := is.New(t)
	dialed, accepted, _, _ := meteredPair(t)
	is.True(!ClosedByPeer(accepted))
	is.NoErr(dialed.Close())
	for !ClosedByPeer(accepted) {
	}
}

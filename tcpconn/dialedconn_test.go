package tcpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// dialedPair returns both ends of a connection that a Dialer opened.
func dialedPair(t *testing.T) (dialed net.Conn, accepted *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialed, err = Dialer(ServerLimits)(context.Background(), l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = dialed.Close(), c.Close() })
	return dialed, c.(*net.TCPConn)
}

// writeUntilError writes until the peer's end shows.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 1<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that a write learned of, and that reads as an orderly end.
func TestResetLearnedByWriteIsNoOrderlyEnd(t *testing.T) {
	is := is.New(t)
	dialed, accepted := dialedPair(t)
	is.NoErr(accepted.SetLinger(0))
	is.NoErr(accepted.Close())
	is.True(errors.Is(writeUntilError(dialed), syscall.ECONNRESET))
	for range 2 {
		_, err := io.ReadAll(dialed)
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// Guards against taking an orderly end for a reset, because the peer resets what is written behind it.
func TestOrderlyEndOutlivesLaterReset(t *testing.T) {
	is := is.New(t)
	dialed, accepted := dialedPair(t)
	_, err := accepted.Write([]byte("all"))
	is.NoErr(err)
	is.NoErr(accepted.Close())
	is.True(errors.Is(writeUntilError(dialed), syscall.EPIPE))
	got, err := io.ReadAll(dialed)
	is.NoErr(err)
	is.Equal(string(got), "all")
}

// Guards against an end that waits for a write that the peer doesn't read.
func TestOrderlyEndDoesNotAwaitWrites(t *testing.T) {
	is := is.New(t)
	dialed, accepted := dialedPair(t)
	go func() { _ = writeUntilError(dialed) }() // ends with the connection
	is.NoErr(accepted.CloseWrite())
	_, err := io.ReadAll(dialed)
	is.NoErr(err)
}

// Guards against a reset that is lost because the connection is metered, or read by a copy.
func TestResetIsNoOrderlyEndOfMeteredConn(t *testing.T) {
	is := is.New(t)
	dialed, accepted := dialedPair(t)
	metered := (&Meter{}).conn(dialed)
	is.NoErr(accepted.SetLinger(0))
	is.NoErr(accepted.Close())
	_ = writeUntilError(metered) // a reset
	_, err := io.Copy(io.Discard, metered)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

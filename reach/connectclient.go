package reach

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// ConnectClient asks other nodes for connections with HTTP CONNECT. It implements Tunneler.
type ConnectClient struct{ Dial tcpconn.DialFunc }

// Tunnel implements Tunneler.
func (c *ConnectClient) Tunnel(ctx context.Context, peerAddress, upstreamAddress string) (net.Conn, error) {
	conn, err := c.Dial(ctx, peerAddress)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", peerAddress, err)
	}
	unregister := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) }) // ends the exchange below
	reader, err := requestTunnel(conn, upstreamAddress)
	if err == nil && !unregister() {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close() // the error above is the one to report
		return nil, fmt.Errorf("node %s: %w", peerAddress, err)
	}
	return &tunnelConn{Conn: conn, buffered: reader, frames: &frameReader{r: reader}}, nil
}

// requestTunnel asks for a connection and returns what the answer is followed by.
func requestTunnel(conn net.Conn, upstreamAddress string) (*bufio.Reader, error) {
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", upstreamAddress, upstreamAddress); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &RefusedError{Reason: resp.Header.Get(headerReason)}
	}
	return reader, nil
}

// tunnelConn is a connection to an upstream through another node.
type tunnelConn struct {
	net.Conn
	buffered *bufio.Reader
	frames   *frameReader
}

// Read reads what the upstream sent.
func (t *tunnelConn) Read(p []byte) (int, error) { return t.frames.Read(p) }

// SyscallConn returns the socket; it fails while bytes are buffered, so that the connection isn't
// taken for idle.
func (t *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := t.Conn.(syscall.Conn)
	if !ok || t.buffered.Buffered() > 0 || t.frames.left > 0 {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// SetLinger sets what Close does with unsent data, if the connection supports it.
func (t *tunnelConn) SetLinger(seconds int) error {
	if l, ok := t.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

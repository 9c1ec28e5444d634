package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/result"
)

// OpenFunc opens a connection to an upstream for another node.
type OpenFunc func(ctx context.Context, address string) (net.Conn, error)

// streamEnded is the code with which a stream is reset: its connection to the upstream broke, or the
// node that asked for it gave it up.
const streamEnded quic.StreamErrorCode = 1

var _ reach.Tunneler = (*QUIC)(nil)

// Tunnel implements reach.Tunneler.
func (q *QUIC) Tunnel(ctx context.Context, peerAddress, upstreamAddress string) (net.Conn, error) {
	conn, err := q.conns.get(ctx, peerAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", peerAddress)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", peerAddress)
	}
	tunnel := &tunnelConn{Stream: stream, conn: conn, reader: bufio.NewReaderSize(stream, streamBufferSize)}
	unregister := context.AfterFunc(ctx, func() { _ = tunnel.Close() }) // ends the exchange below
	err = requestTunnel(tunnel, upstreamAddress)
	if !unregister() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = tunnel.Close() // the error above is the one to report
		return nil, errors.Annotatef(err, "peer %s", peerAddress)
	}
	return tunnel, nil
}

func requestTunnel(t *tunnelConn, upstreamAddress string) error {
	request := &fleetv1.Request{Body: &fleetv1.Request_Connect{Connect: &fleetv1.Connect{Address: upstreamAddress}}}
	if _, err := protodelim.MarshalTo(t.Stream, request); err != nil {
		return errors.Trace(err)
	}
	response := &fleetv1.Response{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	if err := options.UnmarshalFrom(t.reader, response); err != nil {
		return errors.Trace(err)
	}
	if response.GetConnected() == nil {
		return &reach.RefusedError{Reason: response.GetMessage()}
	}
	return nil
}

// tunnelConn is a connection to an upstream over a stream to another node.
type tunnelConn struct {
	*quic.Stream
	conn   *quic.Conn
	reader *bufio.Reader
}

// Read reads what the upstream sent.
func (t *tunnelConn) Read(p []byte) (int, error) { return t.reader.Read(p) }

// Close gives the connection up, in both directions.
func (t *tunnelConn) Close() error {
	t.CancelRead(streamEnded)
	t.CancelWrite(streamEnded)
	return nil
}

// LocalAddr implements net.Conn.
func (t *tunnelConn) LocalAddr() net.Addr { return t.conn.LocalAddr() }

// RemoteAddr returns the address of the node that relays.
func (t *tunnelConn) RemoteAddr() net.Addr { return t.conn.RemoteAddr() }

// openTimeout bounds the time to open a connection for another node, which asks for less.
const openTimeout = time.Second

// serveTunnel opens a connection and copies until one of its ends closes it.
func serveTunnel(ctx context.Context, stream *quic.Stream, fromNode io.Reader, address string, open OpenFunc) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	upstream, err := open(openCtx, address)
	cancel()
	if err != nil {
		response := &fleetv1.Response{Code: uint32(result.NoUpstream), Message: err.Error()}
		_, _ = protodelim.MarshalTo(stream, response) // a node that gave up asks another
		return
	}
	response := &fleetv1.Response{Body: &fleetv1.Response_Connected{Connected: &fleetv1.Connected{}}}
	if _, err := protodelim.MarshalTo(stream, response); err != nil {
		_ = upstream.Close() // nothing was sent on it
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(upstream, fromNode) // whatever ended it, the node wants nothing more
		reach.Abort(upstream)
	}()
	if _, err := io.Copy(stream, upstream); err != nil {
		stream.CancelWrite(streamEnded)
	} else {
		_ = stream.Close() // tells the node that this is the end
	}
	stream.CancelRead(streamEnded)
	<-done
}

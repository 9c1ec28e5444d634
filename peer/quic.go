package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

const (
	alpn       = "lavenderpin-fleet-1"
	maxMessage = 16 << 20
	// idleTimeout outlasts the time between two pings of the same neighbour. There
	// are no keep-alives: those of a connection to every other node would by
	// themselves take more than a node may spend on control in a large fleet.
	idleTimeout  = 30 * time.Second
	maxStreams   = 10_000
	dialDeadline = 2 * time.Second
	// exchangeBuffer holds what nodes tell each other for a request; longer messages
	// are read past it. The default of 4 kB, at both ends, was a sixth of what
	// a request allocated on its node and its witness.
	exchangeBuffer = 512
)

// QUIC is a peer transport on one UDP socket. It implements Caller.
type QUIC struct {
	transport *quic.Transport
	config    *tls.Config

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

var _ Caller = (*QUIC)(nil)

// NewQUIC returns a transport on the socket. The TLS configuration must hold the
// node's certificate and demand one of the same authority from others.
func NewQUIC(socket net.PacketConn, config *tls.Config) *QUIC {
	config = config.Clone()
	config.NextProtos = []string{alpn}
	return &QUIC{transport: &quic.Transport{Conn: socket}, config: config, conns: map[string]*quic.Conn{}}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		HandshakeIdleTimeout:  dialDeadline,
	}
}

// Serve answers requests until ctx ends.
func (q *QUIC) Serve(ctx context.Context, handle Handler) error {
	listener, err := q.transport.Listen(q.config, quicConfig())
	if err != nil {
		return errors.Annotate(err, "peer listener")
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		go serveConn(ctx, conn, handle)
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, handle Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go serveStream(ctx, stream, handle)
	}
}

func serveStream(ctx context.Context, stream *quic.Stream, handle Handler) {
	defer func() { _ = stream.Close() }()
	request, err := readRequest(bufio.NewReaderSize(stream, exchangeBuffer))
	if err != nil {
		stream.CancelRead(0)
		return
	}
	_, _ = protodelim.MarshalTo(stream, handle(ctx, request))
}

// readRequest reads one length-delimited request.
func readRequest(r *bufio.Reader) (*fleetv1.Request, error) {
	request := &fleetv1.Request{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	if err := options.UnmarshalFrom(r, request); err != nil {
		return nil, errors.Trace(err)
	}
	return request, nil
}

// Call implements Caller.
func (q *QUIC) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	conn, err := q.conn(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	response, err := exchange(ctx, conn, request)
	if err != nil {
		q.forget(address, conn)
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	return response, nil
}

func exchange(ctx context.Context, conn *quic.Conn, request *fleetv1.Request) (*fleetv1.Response, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if _, err := protodelim.MarshalTo(stream, request); err != nil {
		return nil, errors.Trace(err)
	}
	if err := stream.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	response := &fleetv1.Response{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	if err := options.UnmarshalFrom(bufio.NewReaderSize(stream, exchangeBuffer), response); err != nil {
		return nil, errors.Trace(err)
	}
	return response, nil
}

func (q *QUIC) conn(ctx context.Context, address string) (*quic.Conn, error) {
	q.mu.Lock()
	held := q.conns[address]
	q.mu.Unlock()
	if held != nil && held.Context().Err() == nil {
		return held, nil
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := q.transport.Dial(ctx, to, q.config, quicConfig())
	if err != nil {
		return nil, errors.Trace(err)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conns[address] = conn
	return conn, nil
}

// forget drops a connection that failed, so that the next call dials anew. A node
// restarted at the same address would otherwise be called over a dead connection
// until the idle timeout.
func (q *QUIC) forget(address string, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns[address] == conn {
		delete(q.conns, address)
		_ = conn.CloseWithError(0, "exchange failed")
	}
}

// Close ends all connections and the socket.
func (q *QUIC) Close() error { return errors.Trace(q.transport.Close()) }

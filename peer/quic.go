package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
)

const (
	alpnProtocol   = "lavenderpin-fleet-1"
	maxMessageSize = 16 << 20
	// idleTimeout exceeds the interval between two pings of the same peer. Keep-alives
	// are disabled: with a connection to every other node, they alone would exceed
	// a node's budget for control traffic in a large fleet.
	idleTimeout        = 30 * time.Second
	maxIncomingStreams = 10_000
	handshakeTimeout   = 2 * time.Second
	// streamBufferSize fits the messages that nodes exchange for a client request; longer
	// ones bypass the buffer. The default of 4 kB, at both ends, was a sixth of the
	// memory that a request allocated on its node and its witness.
	streamBufferSize = 512
)

// QUIC is a peer transport over one UDP socket. It implements Caller.
type QUIC struct {
	transport *quic.Transport
	config    *tls.Config
	conns     *pool[*quic.Conn]
}

var _ Caller = (*QUIC)(nil)

// NewQUIC returns a transport over the socket. The TLS configuration must contain the
// node's certificate and require peers to present one issued by the same authority.
func NewQUIC(socket net.PacketConn, config *tls.Config) *QUIC {
	config = config.Clone()
	config.NextProtos = []string{alpnProtocol}
	q := &QUIC{transport: &quic.Transport{Conn: socket}, config: config}
	q.conns = newPool(q.dial, func(c *quic.Conn) bool { return c.Context().Err() == nil })
	return q
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
		HandshakeIdleTimeout:  handshakeTimeout,
	}
}

// Serve accepts connections and handles their requests until ctx is done. open serves requests for
// connections to upstreams; if it is nil, they are refused like unknown ones.
func (q *QUIC) Serve(ctx context.Context, handler Handler, open OpenFunc) error {
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
		go serveConn(ctx, conn, handler, open)
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, handler Handler, open OpenFunc) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go serveStream(ctx, stream, handler, open)
	}
}

func serveStream(ctx context.Context, stream *quic.Stream, handler Handler, open OpenFunc) {
	defer func() { _ = stream.Close() }()
	reader := bufio.NewReaderSize(stream, streamBufferSize)
	request, err := readRequest(reader)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	if connect := request.GetConnect(); connect != nil && open != nil {
		serveTunnel(ctx, stream, reader, connect.GetAddress(), open)
		return
	}
	_, _ = protodelim.MarshalTo(stream, handler(ctx, request))
}

// readRequest reads one length-delimited request.
func readRequest(r *bufio.Reader) (*fleetv1.Request, error) {
	request := &fleetv1.Request{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	if err := options.UnmarshalFrom(r, request); err != nil {
		return nil, errors.Trace(err)
	}
	return request, nil
}

// Call implements Caller.
func (q *QUIC) Call(ctx context.Context, address string, request *fleetv1.Request) (*fleetv1.Response, error) {
	conn, err := q.conns.get(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	received := conn.ConnectionStats().PacketsReceived
	response, err := roundTrip(ctx, conn, request)
	if err != nil {
		q.dropConn(address, conn, received)
		return nil, errors.Annotatef(err, "peer %s", address)
	}
	return response, nil
}

func roundTrip(ctx context.Context, conn *quic.Conn, request *fleetv1.Request) (*fleetv1.Response, error) {
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
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	if err := options.UnmarshalFrom(bufio.NewReaderSize(stream, streamBufferSize), response); err != nil {
		return nil, errors.Trace(err)
	}
	return response, nil
}

func (q *QUIC) dial(ctx context.Context, address string) (*quic.Conn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := q.transport.Dial(ctx, udpAddr, q.config, quicConfig())
	return conn, errors.Trace(err)
}

// dropConn closes a connection on which an exchange failed, and removes it, so that the next call dials again.
// Otherwise calls to a node restarted at the same address would use a dead connection until the idle timeout. One on
// which packets have arrived since the exchange began stays: the peer is there and slow, other exchanges
// use the connection, and a handshake would add to what keeps both busy.
func (q *QUIC) dropConn(address string, conn *quic.Conn, receivedBefore uint64) {
	if conn.Context().Err() == nil && conn.ConnectionStats().PacketsReceived > receivedBefore {
		return
	}
	if q.conns.remove(address, func(c *quic.Conn) bool { return c == conn }) {
		_ = conn.CloseWithError(0, "exchange failed")
	}
}

// Close closes all connections and the transport.
func (q *QUIC) Close() error { return errors.Trace(q.transport.Close()) }

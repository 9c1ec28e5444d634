package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/tcpconn"
)

// dialer makes the HTTP library use a tcpconn.DialFunc.
type dialer struct{ dial tcpconn.DialFunc }

var _ network.Dialer = dialer{}

// errNoTLS is returned for connections with TLS: upstreams are spoken to in plaintext.
var errNoTLS = errors.New("upstreams are not spoken to over TLS")

// DialConnection implements network.Dialer.
func (d dialer) DialConnection(_, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.DialTimeout("", address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return newClientConn(conn), nil
}

// DialTimeout implements network.Dialer.
func (d dialer) DialTimeout(_, address string, timeout time.Duration, tlsConfig *tls.Config) (net.Conn, error) {
	if tlsConfig != nil {
		return nil, errNoTLS
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d.dial(ctx, address)
}

// AddTLS implements network.Dialer.
func (d dialer) AddTLS(network.Conn, *tls.Config) (network.Conn, error) { return nil, errNoTLS }

package tlskeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// PeerConfig returns the TLS configuration of a node, for both client and server: it
// presents the node's certificate and requires one issued by the authority from the peer.
func PeerConfig(authorityPEM []byte, node KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(node.Cert, node.Key)
	if err != nil {
		return nil, errors.Annotate(err, "node certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("authority PEM contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

package tlskeys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// PeerConfig returns the TLS configuration of a node: it shows its certificate and
// demands one of the authority from the other side, in both roles.
func PeerConfig(authorityPEM []byte, node KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(node.Cert, node.Key)
	if err != nil {
		return nil, errors.Annotate(err, "node certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("the authority holds no certificate")
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

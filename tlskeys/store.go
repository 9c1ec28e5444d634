package tlskeys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// reloadInterval is the interval between two checks for changed files.
const reloadInterval = 5 * time.Second

// Files holds the paths of a node's PEM files. The authority file may contain several
// certificates, which allows the authority to be rotated: add the new one on every
// node, reissue the nodes' certificates with it, then remove the old one.
type Files struct {
	Authority string
	Cert      string
	Key       string
}

// loadedKeys holds the file contents of the last successful load.
type loadedKeys struct {
	authority []byte
	pair      KeyPair
	config    *tls.Config
}

// Store holds a node's keys and reloads changed files without a restart. It is safe
// for concurrent use.
type Store struct {
	files   Files
	clock   clockwork.Clock
	logger  log.Logger
	current atomic.Pointer[loadedKeys]
}

// NewStore loads the files; it fails if they don't contain usable keys.
func NewStore(files Files, clock clockwork.Clock, logger log.Logger) (*Store, error) {
	s := &Store{files: files, clock: clock, logger: logger}
	if _, err := s.Reload(); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Reload reads the files again and returns whether they changed. If the files don't
// match, as during a copy, the current keys stay in use: a node without keys would be
// cut off from every peer until an operator intervened.
func (s *Store) Reload() (changed bool, err error) {
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return false, errors.Trace(err)
	}
	var pair KeyPair
	if pair.Cert, err = os.ReadFile(s.files.Cert); err != nil {
		return false, errors.Trace(err)
	}
	if pair.Key, err = os.ReadFile(s.files.Key); err != nil {
		return false, errors.Trace(err)
	}
	if current := s.current.Load(); current != nil && current.equal(authority, pair) {
		return false, nil
	}
	config, err := PeerConfig(authority, pair)
	if err != nil {
		return false, errors.Trace(err)
	}
	s.current.Store(&loadedKeys{authority: authority, pair: pair, config: config})
	return true, nil
}

func (k *loadedKeys) equal(authority []byte, pair KeyPair) bool {
	return bytes.Equal(k.authority, authority) && bytes.Equal(k.pair.Cert, pair.Cert) && bytes.Equal(k.pair.Key, pair.Key)
}

// Run reloads changed files until ctx is done.
func (s *Store) Run(ctx context.Context) {
	periodic.Run(ctx, s.clock, reloadInterval, func(context.Context) { s.reloadAndLog() })
}

func (s *Store) reloadAndLog() {
	changed, err := s.Reload()
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "failed to reload TLS keys; keeping the current ones", "err", err)
	}
	if changed {
		_ = level.Info(s.logger).Log("msg", "TLS keys reloaded")
	}
}

// PeerConfig returns a configuration for both client and server that looks up the current
// keys for each handshake. A rotation doesn't affect established connections.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		ServerName: ServerName,
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().config.Certificates[0], nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().config.Certificates[0], nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// The standard verification uses a fixed set of authorities. verify performs
		// the same verification against the current set.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// OperatorConfig returns the server configuration for operators: they verify the node's
// certificate and authenticate by token.
func (s *Store) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().config.Certificates[0], nil
		},
	}
}

// verify checks the peer's certificate chain against the current authorities.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().config.RootCAs,
		DNSName:       ServerName,
		CurrentTime:   s.clock.Now(),
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Annotate(err, "peer certificate")
}

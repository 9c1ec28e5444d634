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

// reloadInterval is how soon changed files are noticed.
const reloadInterval = 5 * time.Second

// Files names the PEM files of a node. The authority's file may hold several
// certificates, which is how an authority is replaced: first the new one is added
// on every node, then the nodes' certificates are issued by it, then the old one
// is removed.
type Files struct {
	Authority string
	Cert      string
	Key       string
}

// material is what the files held when they were read last.
type material struct {
	authority []byte
	pair      KeyPair
	config    *tls.Config
}

// Store holds a node's keys and takes in changed files without a restart. It is
// safe for concurrent use.
type Store struct {
	files  Files
	clock  clockwork.Clock
	logger log.Logger
	held   atomic.Pointer[material]
}

// NewStore reads the files once; it fails when they don't hold usable keys.
func NewStore(files Files, clock clockwork.Clock, logger log.Logger) (*Store, error) {
	s := &Store{files: files, clock: clock, logger: logger}
	if _, err := s.Reload(); err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Reload reads the files again and tells whether they changed. Files that don't
// fit together, as halfway through a copy, leave the held keys in force: a node
// that dropped them would lose every peer until somebody came.
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
	if held := s.held.Load(); held != nil && held.same(authority, pair) {
		return false, nil
	}
	config, err := PeerConfig(authority, pair)
	if err != nil {
		return false, errors.Trace(err)
	}
	s.held.Store(&material{authority: authority, pair: pair, config: config})
	return true, nil
}

func (m *material) same(authority []byte, pair KeyPair) bool {
	return bytes.Equal(m.authority, authority) && bytes.Equal(m.pair.Cert, pair.Cert) && bytes.Equal(m.pair.Key, pair.Key)
}

// Run takes in changed files until ctx ends.
func (s *Store) Run(ctx context.Context) {
	periodic.Run(ctx, s.clock, reloadInterval, func(context.Context) { s.reloadAndLog() })
}

func (s *Store) reloadAndLog() {
	changed, err := s.Reload()
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "keys not reloaded, the held ones stay in force", "err", err)
	}
	if changed {
		_ = level.Info(s.logger).Log("msg", "keys reloaded")
	}
}

// PeerConfig returns a configuration that looks the keys up anew for each handshake, in
// both roles. Connections that stand are not disturbed by a rotation.
func (s *Store) PeerConfig() *tls.Config {
	return &tls.Config{
		ServerName: ServerName,
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.held.Load().config.Certificates[0], nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.held.Load().config.Certificates[0], nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// The standard check knows one fixed set of authorities. Verify does the
		// same check against the set that is in force now.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// OperatorConfig returns a configuration for operators: they check the node's
// certificate, and identify themselves by token.
func (s *Store) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.held.Load().config.Certificates[0], nil
		},
	}
}

// verify checks the other side's chain against the authorities in force.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side showed no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         s.held.Load().config.RootCAs,
		DNSName:       ServerName,
		CurrentTime:   s.clock.Now(),
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Annotate(err, "certificate of the other side")
}

package tlskeys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const validity = time.Hour

type testNode struct {
	files Files
	store *Store
}

func newTestNode(t *testing.T, authorities []KeyPair, issuer KeyPair) *testNode {
	t.Helper()
	dir := t.TempDir()
	n := &testNode{files: Files{filepath.Join(dir, "authority.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")}}
	n.writeFiles(t, authorities, issuer)
	store, err := NewStore(n.files, clockwork.NewRealClock(), log.NewNopLogger())
	is.New(t).NoErr(err)
	n.store = store
	return n
}

func (n *testNode) writeFiles(t *testing.T, authorities []KeyPair, issuer KeyPair) {
	t.Helper()
	is := is.New(t)
	var bundle []byte
	for _, a := range authorities {
		bundle = append(bundle, a.Cert...)
	}
	pair, err := issuer.Issue(time.Now(), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(n.files.Authority, bundle, 0o600))
	is.NoErr(os.WriteFile(n.files.Cert, pair.Cert, 0o600))
	is.NoErr(os.WriteFile(n.files.Key, pair.Key, 0o600))
}

func (n *testNode) rotate(t *testing.T, authorities []KeyPair, issuer KeyPair) {
	t.Helper()
	n.writeFiles(t, authorities, issuer)
	changed, err := n.store.Reload()
	is.New(t).NoErr(err)
	is.New(t).True(changed)
}

func newAuthority(t *testing.T) KeyPair {
	t.Helper()
	pair, err := NewAuthority(time.Now(), validity)
	is.New(t).NoErr(err)
	return pair
}

// handshake connects a client and a server and returns the error of each side.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()
	served := make(chan error, 1)
	go func() {
		conn := tls.Server(b, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = b.Close()
		served <- err
	}()
	conn := tls.Client(a, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = a.Close()
	return clientErr, <-served
}

func connects(client, server *testNode) bool {
	clientErr, serverErr := handshake(client.store.PeerConfig(), server.store.PeerConfig())
	return clientErr == nil && serverErr == nil
}

// The fleet's authority is rotated node by node while all nodes run. Two nodes must never
// reject each other during the rotation, or requests that need a peer would fail.
func TestAuthorityRotationKeepsPeersConnected(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	a := newTestNode(t, []KeyPair{old}, old)
	b := newTestNode(t, []KeyPair{old}, old)
	assertConnected := func() {
		t.Helper()
		is.True(connects(a, b))
		is.True(connects(b, a))
	}
	assertConnected()
	for _, step := range []struct {
		trusted []KeyPair
		issuer  KeyPair
	}{{[]KeyPair{old, next}, old}, {[]KeyPair{old, next}, next}, {[]KeyPair{next}, next}} {
		a.rotate(t, step.trusted, step.issuer)
		assertConnected()
		b.rotate(t, step.trusted, step.issuer)
		assertConnected()
	}
}

// A client with a certificate of another fleet, or with none, connects to the peer port.
// If it were accepted, anyone on the network could spend shares and read events.
func TestUntrustedCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	a := newTestNode(t, []KeyPair{ours}, ours)
	untrusted := newTestNode(t, []KeyPair{ours}, theirs)
	is.True(!connects(untrusted, a))
	is.True(!connects(a, untrusted))

	_, serverErr := handshake(&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, a.store.PeerConfig())
	is.True(serverErr != nil) // no certificate at all
}

// An expired certificate must be rejected like an untrusted one.
func TestExpiredCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ours := newAuthority(t)
	a := newTestNode(t, []KeyPair{ours}, ours)
	b := newTestNode(t, []KeyPair{ours}, ours)
	expired, err := ours.Issue(time.Now().Add(-3*validity), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(b.files.Cert, expired.Cert, 0o600))
	is.NoErr(os.WriteFile(b.files.Key, expired.Key, 0o600))
	_, err = b.store.Reload()
	is.NoErr(err)
	is.True(!connects(b, a))
}

// A reload happens in the middle of a rotation, with the new certificate next to the old
// key. The node must keep its current keys; dropping them would isolate it.
func TestPartialFileUpdateKeepsCurrentKeys(t *testing.T) {
	is := is.New(t)
	ours := newAuthority(t)
	a := newTestNode(t, []KeyPair{ours}, ours)
	b := newTestNode(t, []KeyPair{ours}, ours)
	other, err := ours.Issue(time.Now(), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(a.files.Cert, other.Cert, 0o600))
	changed, err := a.store.Reload()
	is.True(err != nil)
	is.True(!changed)
	is.True(connects(a, b))
}

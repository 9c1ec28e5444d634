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

type keyring struct {
	files Files
	store *Store
}

func newKeyring(t *testing.T, authorities []KeyPair, issuer KeyPair) *keyring {
	t.Helper()
	dir := t.TempDir()
	k := &keyring{files: Files{filepath.Join(dir, "authority.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")}}
	k.write(t, authorities, issuer)
	store, err := NewStore(k.files, clockwork.NewRealClock(), log.NewNopLogger())
	is.New(t).NoErr(err)
	k.store = store
	return k
}

func (k *keyring) write(t *testing.T, authorities []KeyPair, issuer KeyPair) {
	t.Helper()
	is := is.New(t)
	var bundle []byte
	for _, a := range authorities {
		bundle = append(bundle, a.Cert...)
	}
	pair, err := issuer.Issue(time.Now(), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(k.files.Authority, bundle, 0o600))
	is.NoErr(os.WriteFile(k.files.Cert, pair.Cert, 0o600))
	is.NoErr(os.WriteFile(k.files.Key, pair.Key, 0o600))
}

func (k *keyring) rotate(t *testing.T, authorities []KeyPair, issuer KeyPair) {
	t.Helper()
	k.write(t, authorities, issuer)
	changed, err := k.store.Reload()
	is.New(t).NoErr(err)
	is.New(t).True(changed)
}

func authority(t *testing.T) KeyPair {
	t.Helper()
	pair, err := NewAuthority(time.Now(), validity)
	is.New(t).NoErr(err)
	return pair
}

// handshake connects two nodes and returns what each side says.
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

func connects(client, server *keyring) bool {
	clientErr, serverErr := handshake(client.store.PeerConfig(), server.store.PeerConfig())
	return clientErr == nil && serverErr == nil
}

// The fleet's authority is replaced node by node while all of them run. At no point
// may two nodes refuse each other, or requests that need a peer would fail.
func TestAuthorityRotationKeepsPeersConnected(t *testing.T) {
	is := is.New(t)
	old, next := authority(t), authority(t)
	a := newKeyring(t, []KeyPair{old}, old)
	b := newKeyring(t, []KeyPair{old}, old)
	both := func() {
		t.Helper()
		is.True(connects(a, b))
		is.True(connects(b, a))
	}
	both()
	for _, step := range []struct {
		trusted []KeyPair
		issuer  KeyPair
	}{{[]KeyPair{old, next}, old}, {[]KeyPair{old, next}, next}, {[]KeyPair{next}, next}} {
		a.rotate(t, step.trusted, step.issuer)
		both()
		b.rotate(t, step.trusted, step.issuer)
		both()
	}
}

// A node with keys of another fleet, or with none, knocks on the peer port. Were it
// let in, anyone on the network could spend shares and read events.
func TestUntrustedCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ours, theirs := authority(t), authority(t)
	a := newKeyring(t, []KeyPair{ours}, ours)
	stranger := newKeyring(t, []KeyPair{ours}, theirs)
	is.True(!connects(stranger, a))
	is.True(!connects(a, stranger))

	_, serverErr := handshake(&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, a.store.PeerConfig())
	is.True(serverErr != nil) // no certificate at all
}

// A certificate has run out. It must be refused like a stranger's.
func TestExpiredCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ours := authority(t)
	a := newKeyring(t, []KeyPair{ours}, ours)
	b := newKeyring(t, []KeyPair{ours}, ours)
	expired, err := ours.Issue(time.Now().Add(-3*validity), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(b.files.Cert, expired.Cert, 0o600))
	is.NoErr(os.WriteFile(b.files.Key, expired.Key, 0o600))
	_, err = b.store.Reload()
	is.NoErr(err)
	is.True(!connects(b, a))
}

// A rotation is seen halfway: the new certificate stands beside the old key. The
// node must go on with what it holds; dropping it would cut the node off.
func TestPartialFileUpdateKeepsCurrentKeys(t *testing.T) {
	is := is.New(t)
	ours := authority(t)
	a := newKeyring(t, []KeyPair{ours}, ours)
	b := newKeyring(t, []KeyPair{ours}, ours)
	other, err := ours.Issue(time.Now(), validity)
	is.NoErr(err)
	is.NoErr(os.WriteFile(a.files.Cert, other.Cert, 0o600))
	changed, err := a.store.Reload()
	is.True(err != nil)
	is.True(!changed)
	is.True(connects(a, b))
}

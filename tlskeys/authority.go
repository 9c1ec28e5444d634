package tlskeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/juju/errors"
)

// ServerName is the name in every node's certificate. Nodes are reached by IP
// numbers that change; what is checked is the fleet's authority, not the address.
const ServerName = "node.lavenderpin.internal"

const serialBits = 120

// KeyPair is a certificate and its key, both PEM.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority makes a fleet's authority, valid from an hour before now.
func NewAuthority(now time.Time, validity time.Duration) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "lavenderpin fleet authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	return sign(template, template, key, key)
}

// Issue makes a node's certificate, valid from an hour before now.
func (p KeyPair) Issue(now time.Time, validity time.Duration) (KeyPair, error) {
	parent, parentKey, err := p.parse()
	if err != nil {
		return KeyPair{}, errors.Annotate(err, "authority")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "lavenderpin node"},
		DNSNames:    []string{ServerName},
		NotBefore:   now.Add(-time.Hour),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	return sign(template, parent, key, parentKey)
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	template.SerialNumber = serial
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Trace(err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
	}, nil
}

func (p KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Cert)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("no PEM data")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("the key isn't an ECDSA key")
	}
	return cert, ecKey, nil
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/tlskeys"
)

const (
	authorityBaseName = "authority"
	keyFileMode       = 0o600
	keyDirMode        = 0o700
)

type keysCmd struct {
	Authority authorityCmd `cmd:"" help:"Create a fleet's certificate authority."`
	Issue     issueCmd     `cmd:"" help:"Create a node's certificate."`
	Hash      hashCmd      `cmd:"" help:"Print the hash under which a key or token is stored."`
}

type authorityCmd struct {
	Out      string        `help:"Directory for authority.pem and authority.key; created if missing." type:"path" required:""`
	Validity time.Duration `help:"Validity period of the authority." default:"43800h"`
}

// Run creates the authority. It never replaces an existing one: the running nodes would
// reject every certificate that the new authority issues.
func (c *authorityCmd) Run() error {
	if _, err := os.Stat(filepath.Join(c.Out, authorityBaseName+".key")); err == nil {
		return errors.AlreadyExistsf("certificate authority in %s", c.Out)
	}
	if err := os.MkdirAll(c.Out, keyDirMode); err != nil {
		return errors.Trace(err)
	}
	pair, err := tlskeys.NewAuthority(time.Now(), c.Validity)
	if err != nil {
		return errors.Trace(err)
	}
	return writePair(c.Out, authorityBaseName, pair)
}

type issueCmd struct {
	Dir      string        `help:"Directory with authority.pem and authority.key." type:"existingdir" required:""`
	Name     string        `help:"Base name of the files to write." required:""`
	Validity time.Duration `help:"Validity period of the certificate." default:"8760h"`
}

// Run creates the certificate and its private key.
func (c *issueCmd) Run() error {
	var authority tlskeys.KeyPair
	var err error
	if authority.Cert, err = os.ReadFile(filepath.Join(c.Dir, authorityBaseName+".pem")); err != nil {
		return errors.Trace(err)
	}
	if authority.Key, err = os.ReadFile(filepath.Join(c.Dir, authorityBaseName+".key")); err != nil {
		return errors.Trace(err)
	}
	pair, err := authority.Issue(time.Now(), c.Validity)
	if err != nil {
		return errors.Trace(err)
	}
	return writePair(c.Dir, c.Name, pair)
}

func writePair(dir, name string, pair tlskeys.KeyPair) error {
	for suffix, data := range map[string][]byte{".pem": pair.Cert, ".key": pair.Key} {
		if err := os.WriteFile(filepath.Join(dir, name+suffix), data, keyFileMode); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

type hashCmd struct {
	Secret string `arg:"" help:"Key or token."`
}

// Run prints the hash.
func (c *hashCmd) Run() error {
	fmt.Println(config.HashKey(c.Secret))
	return nil
}

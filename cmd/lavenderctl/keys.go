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
	authorityName = "authority"
	secretMode    = 0o600
	folderMode    = 0o700
)

type keysCmd struct {
	Authority authorityCmd `cmd:"" help:"Make a fleet's authority."`
	Issue     issueCmd     `cmd:"" help:"Make a node's certificate."`
	Hash      hashCmd      `cmd:"" help:"Print the stored form of a key or token."`
}

type authorityCmd struct {
	Out      string        `help:"Folder for authority.pem and authority.key; made when missing." type:"path" required:""`
	Validity time.Duration `help:"How long it is valid." default:"43800h"`
}

// Run makes the authority. One that is there already is kept: with another in its
// place no node could be given a certificate that the running ones accept.
func (c *authorityCmd) Run() error {
	if _, err := os.Stat(filepath.Join(c.Out, authorityName+".key")); err == nil {
		return errors.AlreadyExistsf("an authority in %s", c.Out)
	}
	if err := os.MkdirAll(c.Out, folderMode); err != nil {
		return errors.Trace(err)
	}
	pair, err := tlskeys.NewAuthority(time.Now(), c.Validity)
	if err != nil {
		return errors.Trace(err)
	}
	return writePair(c.Out, authorityName, pair)
}

type issueCmd struct {
	Dir      string        `help:"Folder with authority.pem and authority.key." type:"existingdir" required:""`
	Name     string        `help:"Name of the files to write." required:""`
	Validity time.Duration `help:"How long it is valid." default:"8760h"`
}

// Run makes the certificate.
func (c *issueCmd) Run() error {
	var authority tlskeys.KeyPair
	var err error
	if authority.Cert, err = os.ReadFile(filepath.Join(c.Dir, authorityName+".pem")); err != nil {
		return errors.Trace(err)
	}
	if authority.Key, err = os.ReadFile(filepath.Join(c.Dir, authorityName+".key")); err != nil {
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
		if err := os.WriteFile(filepath.Join(dir, name+suffix), data, secretMode); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

type hashCmd struct {
	Secret string `arg:"" help:"Key or token."`
}

// Run prints the sum.
func (c *hashCmd) Run() error {
	fmt.Println(config.HashKey(c.Secret))
	return nil
}

package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// An operator follows the quick start on a fresh machine, where the folder for keys
// isn't there yet, and later runs the first command again. The second run must not
// replace the authority: running nodes would refuse every certificate made by the new one.
func TestExistingAuthorityIsKept(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "keys")
	authority := authorityCmd{Out: dir, Validity: time.Hour}
	is.NoErr(authority.Run())
	before, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	is.NoErr(err)
	is.True(errors.Is(authority.Run(), errors.AlreadyExists))
	after, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	is.NoErr(err)
	is.Equal(before, after)
	is.NoErr((&issueCmd{Dir: dir, Name: "node-a", Validity: time.Hour}).Run())
	_, err = os.Stat(filepath.Join(dir, "node-a.pem"))
	is.NoErr(err)
}

package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID identifies the content of a request, or an incarnation of an upstream. Zero stands for none.
type ID uint64

// Digest returns a field for NewID that stands for a long one, which isn't copied.
func Digest(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }

// String returns the ID as it stands in logs.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// NewID returns the ID of what the fields say together. Each is hashed with its length, so that other fields
// never hash the same input.
func NewID(fields ...string) ID {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		_, _ = d.Write(length[:]) // never fails
		_, _ = d.WriteString(f)   // as above
	}
	return ID(max(1, d.Sum64()))
}

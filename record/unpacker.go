package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxUnpackedBytes bounds the unpacked size of a record. Without it one bad record could
// exhaust the memory of every node that reads it.
const maxUnpackedBytes = 16 << 20

// unpacker unpacks one record at a time and reuses its buffer for the next.
type unpacker struct {
	reader   io.ReadCloser
	unpacked bytes.Buffer
}

var unpackerPool = sync.Pool{New: func() any {
	return &unpacker{reader: flate.NewReader(bytes.NewReader(nil))}
}}

// unpack returns the unpacked record, which is valid until the next call.
func (u *unpacker) unpack(body []byte) ([]byte, error) {
	if err := u.reader.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, errors.Annotate(err, "packed record")
	}
	u.unpacked.Reset()
	if _, err := u.unpacked.ReadFrom(io.LimitReader(u.reader, maxUnpackedBytes+1)); err != nil {
		return nil, errors.Annotate(err, "packed record")
	}
	if u.unpacked.Len() > maxUnpackedBytes {
		return nil, errors.Errorf("a packed record unpacks to more than %d bytes", maxUnpackedBytes)
	}
	return u.unpacked.Bytes(), nil
}

// release returns the unpacker to the pool, unless a rare large record has grown its
// buffer beyond maxPooledBytes.
func (u *unpacker) release() {
	if u.unpacked.Cap() <= maxPooledBytes {
		unpackerPool.Put(u)
	}
}

const maxPooledBytes = 1 << 20

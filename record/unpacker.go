package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxUnpacked bounds what a record may unpack to, in bytes. Without it one bad record
// could take all memory of every node that folds it.
const maxUnpacked = 16 << 20

// unpacker unpacks one record at a time and keeps its room for the next.
type unpacker struct {
	reader io.ReadCloser
	record bytes.Buffer
}

var unpackers = sync.Pool{New: func() any {
	return &unpacker{reader: flate.NewReader(bytes.NewReader(nil))}
}}

// unpack returns what was packed; it is good until the next call.
func (u *unpacker) unpack(body []byte) ([]byte, error) {
	if err := u.reader.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, errors.Annotate(err, "packed record")
	}
	u.record.Reset()
	if _, err := u.record.ReadFrom(io.LimitReader(u.reader, maxUnpacked+1)); err != nil {
		return nil, errors.Annotate(err, "packed record")
	}
	if u.record.Len() > maxUnpacked {
		return nil, errors.Errorf("a packed record holds more than %d bytes", maxUnpacked)
	}
	return u.record.Bytes(), nil
}

// keep gives the unpacker back for reuse, unless a rare large record made it large.
func (u *unpacker) keep() {
	if u.record.Cap() <= keptRoom {
		unpackers.Put(u)
	}
}

const keptRoom = 1 << 20

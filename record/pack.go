package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// packFrom is the smallest record worth packing, in bytes.
	packFrom = 256
	// maxUnpacked bounds what a record may unpack to, in bytes. Without it one bad
	// record could take all memory of every node that folds it.
	maxUnpacked = 16 << 20
)

// packers are kept for reuse: each takes more memory than most records.
var packers = sync.Pool{New: func() any {
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return packer
}}

// Pack returns the record compressed if that makes it smaller, and as it is
// otherwise. A record larger than readers unpack stays as it is too: packed, every
// reader would pass it over, and the settlements in it would go unbilled.
func Pack(record []byte) []byte {
	if len(record) < packFrom || len(record) > maxUnpacked {
		return record
	}
	var body bytes.Buffer
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	packer.Reset(&body)
	if _, err := packer.Write(record); err != nil {
		return record
	}
	if err := packer.Close(); err != nil {
		return record
	}
	size := protowire.SizeTag(packedField) + protowire.SizeBytes(body.Len())
	if size >= len(record) {
		return record
	}
	packed := protowire.AppendTag(make([]byte, 0, size), packedField, protowire.BytesType)
	return protowire.AppendBytes(packed, body.Bytes())
}

func unpack(body []byte) ([]byte, error) {
	record, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUnpacked+1))
	if err != nil {
		return nil, errors.Annotate(err, "packed record")
	}
	if len(record) > maxUnpacked {
		return nil, errors.Errorf("a packed record holds more than %d bytes", maxUnpacked)
	}
	return record, nil
}

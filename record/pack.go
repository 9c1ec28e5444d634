package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// packFrom is the smallest record worth packing, in bytes.
const packFrom = 256

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

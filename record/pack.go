package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// minPackBytes is the smallest record worth packing, in bytes.
const minPackBytes = 256

// packerPool reuses packers, since each takes more memory than most records.
var packerPool = sync.Pool{New: func() any {
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return packer
}}

// Pack returns the record compressed if that makes it smaller, and unchanged otherwise. A
// record larger than readers unpack also stays unchanged: if it were packed, every reader
// would skip it, and its settlements would go unbilled.
func Pack(record []byte) []byte {
	if len(record) < minPackBytes || len(record) > maxUnpackedBytes {
		return record
	}
	var body bytes.Buffer
	packer := packerPool.Get().(*flate.Writer)
	defer packerPool.Put(packer)
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
